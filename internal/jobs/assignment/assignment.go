package assignment

import (
	"github.com/cespare/xxhash/v2"

	"siskinrun/internal/base/host"
	"siskinrun/internal/data/upstream"
)

// Assignment distributes upstreams over the live hosts by rendezvous hashing.
type Assignment struct {
	// Hosts are the live hosts, including this one.
	Hosts []host.Host
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
		s := xxhash.Sum64String(u.Name + "\x00" + h.Name)
		if best == "" || s > bestScore || s == bestScore && h.Name < best {
			best = h.Name
			bestScore = s
		}
	}
	return best
}
