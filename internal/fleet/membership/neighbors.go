package membership

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// neighbors are the peers with which a host of a large fleet exchanges and to which it pushes. Their number grows with the
// logarithm of the hosts, and so do the sessions of a host.
//
// Hosts stand on a ring in the order of the hashes of their names. The neighbors of a host follow it at the distances 1, 2,
// 4 and so on, once on the ring of its failure domain and once on that of all hosts.
type neighbors struct {
	domain []string
	fleet  []string
	// stale means that hosts have come, gone or moved since the neighbors were computed.
	stale bool
	// nextDomain and nextFleet are the positions of the next exchange.
	nextDomain int
	nextFleet  int
}

// neighborhood returns the current neighbors of this host.
func (m *Membership) neighborhood() *neighbors {
	if !m.neighbors.stale {
		return &m.neighbors
	}
	d := m.hosts[m.name].FailureDomain
	var domain, fleet []string
	for n, h := range m.hosts {
		fleet = append(fleet, n)
		if h.FailureDomain == d {
			domain = append(domain, n)
		}
	}
	m.neighbors.domain = followers(m.name, domain)
	m.neighbors.fleet = followers(m.name, fleet)
	m.neighbors.stale = false
	return &m.neighbors
}

// followers returns the hosts that follow the named one at distances that are powers of two on the ring of hosts.
func followers(name string, hosts []string) []string {
	slices.SortFunc(hosts, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), strings.Compare(a, b))
	})
	i := slices.Index(hosts, name)
	var l []string
	for d := 1; d < len(hosts); d *= 2 {
		l = append(l, hosts[(i+d)%len(hosts)])
	}
	return l
}

// all returns the neighbors without duplicates.
func (n *neighbors) all() []string {
	l := append(slices.Clone(n.domain), n.fleet...)
	slices.Sort(l)
	return slices.Compact(l)
}

// exchangeTargets returns the next neighbor on either ring.
func (n *neighbors) exchangeTargets(usable func(string) bool) []string {
	a := next(n.domain, &n.nextDomain, usable)
	b := next(n.fleet, &n.nextFleet, usable)
	switch {
	case a == "" && b == "":
		return nil
	case a == "" || a == b:
		return []string{b}
	case b == "":
		return []string{a}
	}
	return []string{a, b}
}

// next returns the next usable element from position i on and moves i past it, or "" if there is none.
func next(l []string, i *int, usable func(string) bool) string {
	for range l {
		n := l[*i%len(l)]
		*i = (*i + 1) % len(l)
		if usable(n) {
			return n
		}
	}
	return ""
}

// mostlySilent reports whether at least isolationNumerator of isolationDenominator of the peers are silent.
func (m *Membership) mostlySilent(peers []string) bool {
	n := 0
	for _, p := range peers {
		if !m.Alive(p) {
			n++
		}
	}
	return n > 0 && n*isolationDenominator >= len(peers)*isolationNumerator
}
