package assignment

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"

	"siskinrun/internal/base/host"
	"siskinrun/internal/data/upstream"
)

const (
	// upstreamsPerHost is the number of upstreams for which one host of a failure domain is chosen.
	upstreamsPerHost = 6
	// minHostsPerDomain is the least number of hosts that are chosen in a failure domain that has them.
	minHostsPerDomain = 4
)

// Assignment distributes upstreams over hosts by rendezvous hashing.
type Assignment struct {
	// Hosts are the hosts to which upstreams are assigned.
	Hosts []host.Host

	byUpstream map[string]string
	// domains holds the failure domain of each upstream.
	domains map[string]string
	// relays holds the relay host of each failure domain.
	relays map[string]string
}

// NewAssignment assigns upstreams to as few of the live hosts as can run their batch work. Every other host of the fleet
// exchanges counts with each chosen one, so their number follows the upstreams and not the hosts.
func NewAssignment(live []host.Host, upstreams []upstream.Upstream) *Assignment {
	inDomain := map[string]int{}
	for _, u := range upstreams {
		inDomain[u.FailureDomain]++
	}
	a := &Assignment{
		byUpstream: make(map[string]string, len(upstreams)),
		domains:    make(map[string]string, len(upstreams)),
		relays:     map[string]string{},
	}
	for d, l := range byDomain(live) {
		n := max((inDomain[d]+upstreamsPerHost-1)/upstreamsPerHost, minHostsPerDomain)
		chosen := firstByHash(l, n)
		a.Hosts = append(a.Hosts, chosen...)
		a.relays[d] = chosen[0].Name
	}
	for _, u := range upstreams {
		a.byUpstream[u.Name] = a.HostFor(u)
		a.domains[u.Name] = u.FailureDomain
	}
	return a
}

// HostOf returns the host that runs the batch work of the named upstream, or an empty string if it is not assigned.
func (a *Assignment) HostOf(upstream string) string {
	return a.byUpstream[upstream]
}

// Ranking returns up to n hosts for the named upstream, HostOf first, or none if it is not assigned.
func (a *Assignment) Ranking(upstream string, n int) []string {
	domain, ok := a.domains[upstream]
	if !ok {
		return nil
	}
	l := slices.Clone(a.Hosts)
	scores := make(map[string]uint64, len(l))
	for _, h := range l {
		scores[h.Name] = score(upstream, h)
	}
	slices.SortFunc(l, func(x, y host.Host) int {
		if near := x.FailureDomain == domain; near != (y.FailureDomain == domain) {
			return map[bool]int{true: -1, false: 1}[near]
		}
		return cmp.Or(cmp.Compare(scores[y.Name], scores[x.Name]), strings.Compare(x.Name, y.Name))
	})
	var names []string
	for _, h := range l[:min(n, len(l))] {
		names = append(names, h.Name)
	}
	return names
}

// RelayHost returns the chosen host that passes on what the others of a failure domain say, or an empty string if none is
// chosen there.
func (a *Assignment) RelayHost(domain string) string {
	return a.relays[domain]
}

// RemoteRelayHosts returns the relay hosts of all failure domains but the given one.
func (a *Assignment) RemoteRelayHosts(domain string) []string {
	var l []string
	for d, h := range a.relays {
		if d != domain {
			l = append(l, h)
		}
	}
	return l
}

func byDomain(hosts []host.Host) map[string][]host.Host {
	m := map[string][]host.Host{}
	for _, h := range hosts {
		m[h.FailureDomain] = append(m[h.FailureDomain], h)
	}
	return m
}

// firstByHash returns up to n hosts with the lowest hashes of their names, so that the loss of one adds only one other.
func firstByHash(hosts []host.Host, n int) []host.Host {
	hashes := make(map[string]uint64, len(hosts))
	for _, h := range hosts {
		hashes[h.Name] = xxhash.Sum64String(h.Name)
	}
	l := slices.Clone(hosts)
	slices.SortFunc(l, func(x, y host.Host) int {
		return cmp.Or(cmp.Compare(hashes[x.Name], hashes[y.Name]), strings.Compare(x.Name, y.Name))
	})
	return l[:min(n, len(l))]
}

// score returns the rendezvous hash of a key on a host.
func score(key string, h host.Host) uint64 {
	return xxhash.Sum64String(key + "\x00" + h.Name)
}

// HostFor returns the host that runs the batch work of an upstream: one in the failure domain of the upstream if
// there is any, or an empty string if there are no hosts.
func (a Assignment) HostFor(u upstream.Upstream) string {
	near := a.choose(u, true)
	if near != "" {
		return near
	}
	return a.choose(u, false)
}

// choose returns the host with the highest rendezvous hash, or an empty string if none qualifies.
func (a Assignment) choose(u upstream.Upstream, sameDomain bool) string {
	var best string
	var bestScore uint64
	for _, h := range a.Hosts {
		if sameDomain && h.FailureDomain != u.FailureDomain {
			continue
		}
		s := score(u.Name, h)
		if best == "" || s > bestScore || s == bestScore && h.Name < best {
			best = h.Name
			bestScore = s
		}
	}
	return best
}
