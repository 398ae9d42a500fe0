package executor

import (
	"maps"
	"slices"
	"time"
)

// freeSlots lists the free slots of each claimed upstream.
type freeSlots []upstreamSlots

type upstreamSlots struct {
	upstream *claimedUpstream
	free     int
}

// unreservedSlots returns the free slots for one request, including those for prefetching, less pending and requested items.
func (p *scheduler) unreservedSlots(now time.Time) freeSlots {
	var r freeSlots
	for _, n := range slices.Sorted(maps.Keys(p.upstreams)) {
		c := p.upstreams[n]
		if now.Before(c.claimExpires) && c.window > 0 {
			n := c.window + prefetch(c.window) - c.usedSlots()
			r = append(r, upstreamSlots{upstream: c, free: min(n, largestRequest(c.window))})
		}
	}
	for _, t := range p.pending {
		r.reserve([]string{t.route}, 1)
	}
	for _, s := range p.groups {
		for _, w := range s.requested {
			r.reserve(p.routesOf(now, w.Target), int(w.Count))
		}
	}
	return r
}

// prefetch returns how many items are leased beyond the window, so that no slot waits for the next lease.
func prefetch(window int) int {
	return (window + 1) / 2
}

// largestRequest returns the number of items up to which one request leases for an upstream. A job's items are few beside
// the slots of a fleet: a host that leased them all at once would fill its upstreams while those of others stay idle.
func largestRequest(window int) int {
	return max(window/requestDivisor, 1)
}

// any reports whether a slot is free.
func (r freeSlots) any() bool {
	return slices.ContainsFunc(r, func(s upstreamSlots) bool { return s.free > 0 })
}

// reserve takes up to n slots that serve one of the routes and returns how many it took.
func (r freeSlots) reserve(routes []string, n int) int {
	got := 0
	for i := range r {
		if !r[i].upstream.servesAny(routes) {
			continue
		}
		k := min(n-got, max(r[i].free, 0))
		r[i].free -= k
		got += k
	}
	return got
}
