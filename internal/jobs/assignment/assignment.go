package assignment

import (
	"github.com/cespare/xxhash/v2"

	"siskinrun/internal/base/host"
	"siskinrun/internal/data/upstream"
)

// Assignment spreads upstreams over the hosts that are alive.
type Assignment struct {
	// Hosts are the hosts that are alive, this one among them.
	Hosts []host.Host
}

// Driver returns the host that should drive an upstream, one of its failure domain if there is any.
func (a Assignment) Driver(u upstream.Upstream) string {
	near := a.choose(u, true)
	if near != "" {
		return near
	}
	return a.choose(u, false)
}

// choose returns the host with the highest rendezvous hash.
func (a Assignment) choose(u upstream.Upstream, near bool) string {
	var best string
	var top uint64
	for _, h := range a.Hosts {
		if near && h.FailureDomain != u.FailureDomain {
			continue
		}
		s := xxhash.Sum64String(u.Name + "\x00" + h.Name)
		if best == "" || s > top || s == top && h.Name < best {
			best = h.Name
			top = s
		}
	}
	return best
}
