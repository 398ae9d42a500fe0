package membership

import (
	"slices"
	"strings"
	"time"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/upstream"
)

// supersedes reports whether announcement a replaces b for the same upstream name. The newer incarnation wins; within
// one, a leave, then the higher Sequence if both have one, then the lower address that is not empty, then the one with a
// version, then the later one.
func supersedes(a, b *announcement) bool {
	if b == nil {
		return true
	}
	x, y := a.upstream, b.upstream
	if x.Incarnation != y.Incarnation {
		return x.Incarnation > y.Incarnation
	}
	if x.Leaving != y.Leaving {
		return x.Leaving
	}
	if x.Sequence != y.Sequence && x.Sequence > 0 && y.Sequence > 0 {
		return x.Sequence > y.Sequence
	}
	if x.Address != y.Address {
		return x.Address != "" && (y.Address == "" || x.Address < y.Address)
	}
	if y.Version == "" && x.Version != "" && !b.disputed {
		return true
	}
	return a.createdAt.Sub(b.createdAt) > ageTolerance
}

// winsAddress reports whether a keeps an address that b announces under another name.
func winsAddress(a, b *announcement) bool {
	x, y := a.upstream, b.upstream
	if x.Leaving != y.Leaving {
		return y.Leaving
	}
	if x.Incarnation != y.Incarnation {
		return x.Incarnation > y.Incarnation
	}
	return x.Name < y.Name
}

// newerLoad reports whether load a replaces b. The newer incarnation wins; within one, the newer measurement, unless both
// were measured within ageTolerance/10.
func newerLoad(a, b *load) bool {
	if b == nil || a.report.Incarnation != b.report.Incarnation {
		return b == nil || a.report.Incarnation > b.report.Incarnation
	}
	return a.measuredAt.Sub(b.measuredAt) > ageTolerance/10
}

// sortedUpstreams returns the upstreams ordered by name with their ages.
func sortedUpstreams(now time.Time, l map[string]*announcement) []upstream.Upstream {
	var out []upstream.Upstream
	for _, a := range l {
		u := a.upstream
		u.Age = duration.Duration(now.Sub(a.createdAt))
		out = append(out, u)
	}
	slices.SortFunc(out, func(a, b upstream.Upstream) int { return strings.Compare(a.Name, b.Name) })
	return out
}
