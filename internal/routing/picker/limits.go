package picker

import (
	"slices"
	"time"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/upstream"
)

// limits tells which upstreams name rate limits.
type limits interface {
	// Next returns when an upstream has its next permit, and how much of its reserve for times at which others are full is
	// used, from 0 to 1.
	Next(name string, incarnation uint64, now time.Time) (at time.Time, used float64)
	// Named reports whether an upstream names a rate limit.
	Named(name string, incarnation uint64) bool
}

// Soonest returns the upstream for a request that has its next permit first and when that is, for a request for which Pick
// finds none. It returns false if no upstream would get the request with a permit either.
func (c *Picker) Soonest(now time.Time, d demand.Demand) (upstream.Upstream, time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	p, ok := c.pools[poolOf(&d)]
	if !ok || c.Limits == nil {
		return upstream.Upstream{}, time.Time{}, false
	}
	m, t := c.soonest(p, &d, now, true)
	if m == nil {
		m, t = c.soonest(p, &d, now, false)
	}
	if m == nil {
		return upstream.Upstream{}, time.Time{}, false
	}
	return m.upstream, t, true
}

// soonest returns the upstream that has its next permit first, of all or of those that are not overfilled.
func (c *Picker) soonest(p *pool, d *demand.Demand, now time.Time, unfilled bool) (best *member, at time.Time) {
	for _, m := range p.all {
		if !c.eligible(m, d, now) || unfilled && c.overfilled(p, m, now) {
			continue
		}
		t, _ := c.Limits.Next(m.upstream.Name, m.upstream.Incarnation, now)
		if best == nil || t.Before(at) {
			best, at = m, t
		}
	}
	return best, at
}

// updateLimited notes whether an upstream of a pool names a rate limit, and whether only some do.
func (c *Picker) updateLimited(p *pool) {
	p.limited = c.Limits != nil && slices.ContainsFunc(p.all, c.named)
	p.mixed = p.limited && slices.ContainsFunc(p.all, func(m *member) bool { return !c.named(m) })
}

// named reports whether an upstream names a rate limit.
func (c *Picker) named(m *member) bool {
	return c.Limits.Named(m.upstream.Name, m.upstream.Incarnation)
}

// closed reports whether an upstream has no permit now under the rate limit that it names.
func (c *Picker) closed(m *member, now time.Time) bool {
	if c.Limits == nil {
		return false
	}
	t, _ := c.Limits.Next(m.upstream.Name, m.upstream.Incarnation, now)
	return t.After(now)
}

// overfilled reports whether one more request would wait for a slot of an upstream without a rate limit while others name
// one. The slots of the service count theirs, so the request is to wait for one of their permits instead.
func (c *Picker) overfilled(p *pool, m *member, now time.Time) bool {
	if !p.limited || c.named(m) {
		return false
	}
	return m.load(now, c.ReportTTL)+1 > m.slots
}

// spareShare is the share of its slots up to which an upstream without a rate limit goes before those that name one.
const spareShare = 0.75

// sparing returns all candidates or, if some cost no permit and have slots to spare, these and those whose reserve is full.
// What others save up is left for times at which no slots are to spare.
func (c *Picker) sparing(p *pool, list []candidate, d *demand.Demand, now time.Time) []candidate {
	spare := func(v candidate) bool {
		m := v.member
		return !c.named(m) && c.eligible(m, d, now) && m.load(now, c.ReportTTL)+1 <= spareShare*m.slots
	}
	if !p.limited || !slices.ContainsFunc(list, spare) {
		return list
	}
	return slices.DeleteFunc(list, func(v candidate) bool { return !spare(v) && !c.reserveFull(v.member, now) })
}

// reserveFull reports whether an upstream names a rate limit and what it lets through now could not be saved up further.
func (c *Picker) reserveFull(m *member, now time.Time) bool {
	if !c.named(m) {
		return false
	}
	_, used := c.Limits.Next(m.upstream.Name, m.upstream.Incarnation, now)
	return used <= 0
}

// limitCost returns the cost of the reserve of an upstream that names a rate limit.
func (c *Picker) limitCost(m *member, now time.Time) float64 {
	if c.Limits == nil {
		return 0
	}
	_, used := c.Limits.Next(m.upstream.Name, m.upstream.Incarnation, now)
	return c.LimitWeight * used
}
