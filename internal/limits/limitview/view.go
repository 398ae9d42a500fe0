package limitview

import (
	"slices"
	"strings"
	"time"

	"siskinrun/internal/data/upstreamlimit"
)

const (
	// endedRetention is how long the end of a limit is remembered, so that an earlier answer that comes late does not bring
	// the limit back.
	endedRetention = 30 * time.Second
	// sameMoment is the difference below which what hosts tell each other of one answer looks newer each time.
	sameMoment = 100 * time.Millisecond
	// maxLimits bounds the upstreams whose limits are kept.
	maxLimits = 1 << 14
)

// View is what one host knows of the rate limits of upstreams. Limits come from answers that may have overtaken each other;
// View keeps the newest one, and the lower of two whose order cannot be told.
type View struct {
	limits map[string]upstreamlimit.Limit
	// named is the number of upstreams that name a limit.
	named int
}

// NewView returns an empty view.
func NewView() *View {
	return &View{limits: map[string]upstreamlimit.Limit{}}
}

// Merge adds what one answer said unless newer knowledge stands against it. It returns what was known before and whether
// the answer was taken.
func (v *View) Merge(l upstreamlimit.Limit) (before upstreamlimit.Limit, taken bool) {
	before, known := v.limits[l.Upstream]
	if !known && (!l.Value.Named || len(v.limits) >= maxLimits) {
		return before, false
	}
	if known && !supersedes(l, before) {
		return before, false
	}
	v.set(l)
	return before, true
}

// supersedes reports whether l replaces what is known.
func supersedes(l, known upstreamlimit.Limit) bool {
	switch {
	case l.Incarnation != known.Incarnation:
		return l.Incarnation > known.Incarnation
	case !l.Sent.Before(known.Received):
		return true
	case !l.Received.After(known.Sent):
		return false
	case l.Value.Named != known.Value.Named:
		return l.Value.Named
	case l.Value.PerSecond != known.Value.PerSecond:
		return l.Value.PerSecond < known.Value.PerSecond
	}
	return l.Received.Sub(known.Received) > sameMoment
}

// Get returns the limit that an incarnation of an upstream names, and reports whether it names one. What a later incarnation
// names holds for an earlier one too, since its process is gone.
func (v *View) Get(upstream string, incarnation uint64) (upstreamlimit.Limit, bool) {
	l := v.limits[upstream]
	return l, l.Value.Named && l.Incarnation >= incarnation
}

// Last returns what was last heard of an upstream, also if that was the end of its limit.
func (v *View) Last(upstream string) (upstreamlimit.Limit, bool) {
	l, ok := v.limits[upstream]
	return l, ok
}

// Named returns the known limits, ordered by the names of their upstreams.
func (v *View) Named() []upstreamlimit.Limit {
	var l []upstreamlimit.Limit
	for _, k := range v.limits {
		if k.Value.Named {
			l = append(l, k)
		}
	}
	slices.SortFunc(l, func(a, b upstreamlimit.Limit) int { return strings.Compare(a.Upstream, b.Upstream) })
	return l
}

// Len returns the number of upstreams that name a limit.
func (v *View) Len() int {
	return v.named
}

// Retain removes the limits of upstreams that have left or started again, given the current incarnations by name, and the
// ends of limits that no late answer can precede any more.
func (v *View) Retain(now time.Time, incarnations map[string]uint64) {
	for n, l := range v.limits {
		i, ok := incarnations[n]
		ended := !l.Value.Named && now.Sub(l.Received) > endedRetention
		if !ok || i > l.Incarnation || ended {
			v.remove(n)
		}
	}
}

func (v *View) set(l upstreamlimit.Limit) {
	v.remove(l.Upstream)
	v.limits[l.Upstream] = l
	if l.Value.Named {
		v.named++
	}
}

func (v *View) remove(upstream string) {
	if v.limits[upstream].Value.Named {
		v.named--
	}
	delete(v.limits, upstream)
}
