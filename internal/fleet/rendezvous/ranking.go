package rendezvous

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskinrun/internal/base/host"
)

// Ranking ranks hosts for keys, so that all that know the same hosts agree on the order without talking.
type Ranking struct {
	// Hosts are the hosts to rank.
	Hosts []host.Host
}

// First returns the names of the first n hosts of a key: the best of each failure domain, then the second of each, and so
// on. A host that comes or goes moves the others by one place at most.
func (r Ranking) First(key string, n int) []string {
	l := r.scored(key)
	seen := map[string]int{}
	for i := range l {
		l[i].round = seen[l[i].FailureDomain]
		seen[l[i].FailureDomain]++
	}
	slices.SortStableFunc(l, func(a, b scored) int { return a.round - b.round })
	names := make([]string, 0, n)
	for _, s := range l[:min(n, len(l))] {
		names = append(names, s.Name)
	}
	return names
}

// scored is a host with its score for a key.
type scored struct {
	host.Host
	score uint64
	// round is the number of better hosts in its failure domain.
	round int
}

// scored returns the hosts by falling score.
func (r Ranking) scored(key string) []scored {
	l := make([]scored, len(r.Hosts))
	d := xxhash.New()
	for i, h := range r.Hosts {
		d.Reset()
		_, _ = d.WriteString(key) // a hash write never fails
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(h.Name)
		l[i] = scored{Host: h, score: d.Sum64()}
	}
	slices.SortFunc(l, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.Name, b.Name))
	})
	return l
}
