package picker

import (
	"maps"
	"time"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/routing/spillover"
)

const (
	// spillInterval is the time between two decisions on leaving the failure domain.
	spillInterval = 100 * time.Millisecond
	// otherDomainCost is the cost of an upstream outside the domain that the decision names, in usual answer times. It is less than
	// the wait behind a quarter of the slots: calls of a burst that finds the domain full leave before the decision follows.
	otherDomainCost = 1
	// closedDomainCost is that of an upstream in a domain to which no share goes: a call reaches it only if the
	// others are filled well beyond their slots.
	closedDomainCost = 8
	// bytesPerCall are the bytes of a prompt and of its answer.
	bytesPerCall = 3000
	// networkTime is the longest time that a call and its answer together take longer between domains.
	networkTime = 2800 * time.Microsecond
	bytesPerGB  = 1e9
	// permitWait is how far ahead the next permit of an upstream may be while its slots count as capacity.
	permitWait = time.Second
)

// spills reports whether the pool decides on leaving the failure domain.
func (c *Picker) spills(p *pool) bool {
	return c.DomainTraffic != nil && p.paced
}

// target returns the failure domain for a call of a pool that decides on leaving, and updates the decision if it is due.
func (c *Picker) target(p *pool, d *demand.Demand, now time.Time) string {
	if p.spill == nil {
		p.spill = &spillover.Spillover{}
	}
	if now.Sub(p.spilledAt) >= spillInterval {
		p.spilledAt = now
		c.updateSpill(p, d.FailureDomain, now)
	}
	return p.spill.Target(c.random.Float64())
}

// domainCost returns the cost of an upstream's failure domain for a call of a pool that decides on leaving.
func (c *Picker) domainCost(p *pool, m *member, d *demand.Demand) float64 {
	switch n := m.upstream.FailureDomain; {
	case n == c.chosenDomain:
		return 0
	case n == d.FailureDomain || p.spill.Share(n) > 0:
		return otherDomainCost
	default:
		return closedDomainCost
	}
}

// updateSpill decides anew. Its cost grows with the upstreams of the pool.
func (c *Picker) updateSpill(p *pool, home string, now time.Time) {
	p.spill.Begin()
	for _, m := range p.all {
		if !c.Ejection.Allowed(m.upstream.Name) || c.closed(m, now.Add(permitWait)) {
			continue
		}
		slots := m.effectiveSlots(now, c.WarmUp) / (m.lasting(p.medianWork, now) * m.pace.At(now))
		p.spill.Add(m.upstream.FailureDomain, slots, m.recentLoad(now)/(m.lasting(p.medianWork, now)*m.pace.At(now)))
	}
	cost := *c.DomainTraffic * bytesPerCall / bytesPerGB
	if p.medianWork > 0 {
		cost += float64(networkTime) / p.medianWork
	}
	p.spill.Decide(now, home, cost)
	c.spillReason = p.spill.Reason()
}

// Departures returns the calls sent to each failure domain, of services for which leaving the domain is decided, the bytes of
// one of them, and why calls leave or stay; the reason is empty if nothing is decided.
func (c *Picker) Departures() (calls map[string]int64, callBytes int64, reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return maps.Clone(c.departures), bytesPerCall, c.spillReason
}
