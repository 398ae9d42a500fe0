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
	// keepers holds the hosts of each failure domain that are ranked.
	keepers map[string][]host.Host
	// domains are the failure domains, the own one first and the others in the order of their names.
	domains []string
	hosts   int
}

// NewRanking returns the ranking of hosts for a host of the given failure domain.
func NewRanking(hosts []host.Host, domain string) *Ranking {
	m := map[string][]host.Host{}
	for _, h := range hosts {
		m[h.FailureDomain] = append(m[h.FailureDomain], h)
	}
	for d, l := range m {
		if len(l) > keepersPerDomain {
			sortFor("", l)
			m[d] = l[:keepersPerDomain]
		}
	}
	l := slices.Sorted(maps.Keys(m))
	i, _ := slices.BinarySearch(l, domain)
	return &Ranking{keepers: m, domains: append(slices.Clone(l[i:]), l[:i]...), hosts: len(hosts)}
}

// Hosts returns the number of hosts that the ranking was made of.
func (r *Ranking) Hosts() int {
	return r.hosts
}

// First returns the names of the first n hosts of a key: the best of each failure domain, then the second of each, and so
// on. A host that comes or goes moves those of its own domain by one place at most.
func (r *Ranking) First(key string, n int) []string {
	sorted := make([][]host.Host, len(r.domains))
	var names []string
	for round := range keepersPerDomain {
		for i, d := range r.domains {
			if len(names) == n {
				return names
			}
			if sorted[i] == nil {
				sorted[i] = slices.Clone(r.keepers[d])
				sortFor(key, sorted[i])
			}
			if round < len(sorted[i]) {
				names = append(names, sorted[i][round].Name)
			}
		}
	}
	return names
}

// Owner returns the host of a key on which all agree that know the same hosts, wherever they are; false if there is none.
func (r *Ranking) Owner(key string) (string, bool) {
	var best []host.Host
	for _, d := range r.domains {
		best = append(best, r.keepers[d]...)
	}
	if len(best) == 0 {
		return "", false
	}
	sortFor(key, best)
	return best[0].Name, true
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
