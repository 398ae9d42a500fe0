package picker

import (
	"slices"
	"time"

	"siskinrun/internal/data/demand"
)

// spareSamples is the number of further random candidates when all candidates are full of online and batch work.
const spareSamples = 16

// vacant returns the candidates that have a slot free of online and batch work, or all if none has, for upstreams that run batch
// items whole. A call at a full upstream would wait for a slot there, or preempt a run, while others have a free one.
func (c *Picker) vacant(p *pool, list []candidate, d *demand.Demand, now time.Time) []candidate {
	whole := func(v candidate) bool { return c.RunsWhole(v.member.upstream.Name) }
	if c.RunsWhole == nil || !slices.ContainsFunc(list, whole) {
		return list
	}
	members, inDomain := p.all, func(candidate) bool { return true }
	if c.spills(p) {
		// Which domain a call goes to is decided by online load alone: batch work at home sends no call away.
		members = p.domains[c.chosenDomain]
		inDomain = func(v candidate) bool { return v.member.upstream.FailureDomain == c.chosenDomain }
	}
	free := func(v candidate) bool {
		return inDomain(v) && c.allowed(p, v.member, d, now) && c.freeSlots(v.member, now) >= 1
	}
	if !slices.ContainsFunc(list, free) && len(p.all) > maxScan {
		n := len(list)
		list = c.addRandom(list, members, spareSamples)
		if !slices.ContainsFunc(list[n:], free) {
			return list[:n]
		}
	}
	if !slices.ContainsFunc(list, free) {
		return list
	}
	return slices.DeleteFunc(list, func(v candidate) bool { return !free(v) })
}

// freeSlots returns the slots of an upstream that neither online nor batch work uses.
func (c *Picker) freeSlots(m *member, now time.Time) float64 {
	return m.effectiveSlots(now, c.WarmUp) - m.load(now, c.ReportTTL) - float64(m.batch+m.peerBatch)
}

// FreeElsewhere returns the number of free slots of the upstreams that serve what the named one serves, and that may get requests
// now, without the named one.
func (c *Picker) FreeElsewhere(name string, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	o, ok := c.members[name]
	if !ok {
		return 0
	}
	n := 0
	p, ok := c.pools[poolKey{service: o.upstream.Service}]
	if !ok {
		return 0
	}
	d := demand.Demand{Service: o.upstream.Service}
	for _, m := range p.all {
		away := c.spills(p) && m.upstream.FailureDomain != o.upstream.FailureDomain
		if m != o && !away && c.allowed(p, m, &d, now) && slices.Equal(m.models, o.models) {
			n += max(int(c.freeSlots(m, now)), 0)
		}
	}
	return n
}
