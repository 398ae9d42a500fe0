package rendezvous

import (
	"cmp"
	"maps"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskinrun/internal/base/host"
)

// keepersPerDomain is the number of hosts of a failure domain that are ranked at all: each host that sends to them holds a
// session with each.
const keepersPerDomain = 8

// Ranking ranks hosts for keys, so that all that know the same hosts agree on the order in a failure domain without talking.
type Ranking struct {
	// Hosts are the hosts to rank.
	Hosts []host.Host
	// Domain is the failure domain that comes first.
	Domain string
}

// First returns the names of the first n hosts of a key: the best of each failure domain, the own domain first and then the
// others in the order of their names, then the second of each, and so on. A host that comes or goes moves those of its own
// domain by one place at most.
func (r Ranking) First(key string, n int) []string {
	byDomain := r.keepers()
	for _, l := range byDomain {
		sortFor(key, l)
	}
	domains := r.order(byDomain)
	var names []string
	for round := range keepersPerDomain {
		for _, d := range domains {
			if l := byDomain[d]; round < len(l) && len(names) < n {
				names = append(names, l[round].Name)
			}
		}
	}
	return names
}

// keepers returns the hosts of each failure domain that are ranked.
func (r Ranking) keepers() map[string][]host.Host {
	m := map[string][]host.Host{}
	for _, h := range r.Hosts {
		m[h.FailureDomain] = append(m[h.FailureDomain], h)
	}
	for d, l := range m {
		if len(l) > keepersPerDomain {
			sortFor("", l)
			m[d] = l[:keepersPerDomain]
		}
	}
	return m
}

// order returns the failure domains in the order of their names, rotated so that the own one comes first.
func (r Ranking) order(m map[string][]host.Host) []string {
	l := slices.Sorted(maps.Keys(m))
	i, _ := slices.BinarySearch(l, r.Domain)
	return append(slices.Clone(l[i:]), l[:i]...)
}

// sortFor sorts hosts by falling score for a key.
func sortFor(key string, l []host.Host) {
	scores := make(map[string]uint64, len(l))
	d := xxhash.New()
	for _, h := range l {
		d.Reset()
		_, _ = d.WriteString(key) // a hash write never fails
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(h.Name)
		scores[h.Name] = d.Sum64()
	}
	slices.SortFunc(l, func(a, b host.Host) int {
		return cmp.Or(cmp.Compare(scores[b.Name], scores[a.Name]), cmp.Compare(a.Name, b.Name))
	})
}
