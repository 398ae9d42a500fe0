package picker

import (
	"math"
	"slices"
	"time"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/upstream"
)

const (
	// preferredSamples is the number of random candidates among the preferred upstreams of a large pool, and anySamples that of all its
	// upstreams. With more candidates in all, hosts whose counts are old would choose the same upstream.
	preferredSamples = 4
	anySamples       = 1
	// preferredLead is the lead of a preferred upstream in the score, less than two requests in eight slots.
	preferredLead = 0.2
	// rateTime is the time constant of the average of a pool's calls per second.
	rateTime = 5 * time.Second
)

// preference holds the preferred upstreams of a pool on this host.
type preference struct {
	// order holds the upstreams of the pool, those that are preferred most in front; rank holds their places in it.
	order []*member
	rank  map[*member]int
	// size is the number of preferred upstreams, zero for no preference.
	size int
	// calls are the calls since the last update, rate the average number of them per second.
	calls int
	rate  float64
	at    time.Time
}

// orderPreferred orders the upstreams of a pool anew. Its cost grows with the upstreams of the pool.
func (c *Picker) orderPreferred(p *pool) {
	if c.Preferred == nil {
		return
	}
	l := make([]upstream.Upstream, len(p.all))
	for i, m := range p.all {
		l[i] = m.upstream
	}
	p.preferred.order = p.preferred.order[:0]
	p.preferred.rank = make(map[*member]int, len(l))
	for i, j := range c.Preferred.Order(l) {
		p.preferred.order = append(p.preferred.order, p.all[j])
		p.preferred.rank[p.all[j]] = i
	}
	p.preferred.size = min(p.preferred.size, len(l))
}

// updatePreferred follows the rate of the pool's calls.
func (c *Picker) updatePreferred(p *pool, now time.Time) {
	if c.Preferred == nil {
		return
	}
	f := &p.preferred
	if d := now.Sub(f.at); !f.at.IsZero() && d > 0 {
		f.rate += (float64(f.calls)/d.Seconds() - f.rate) * (1 - math.Exp(-float64(d)/float64(rateTime)))
	}
	f.calls, f.at = 0, now
	running, slots := 0, 0.0
	for _, m := range p.all {
		running += m.own
		slots += m.slots
	}
	f.size = c.Preferred.Size(f.rate, running, slots/float64(len(p.all)), len(f.order))
}

// longest returns the most prompt blocks that a candidate probably has cached.
func longest(list []candidate) int {
	n := 0
	for _, v := range list {
		n = max(n, v.blocks)
	}
	return n
}

// lead returns the lead of a candidate in the score; blocks are the most prompt blocks that any has cached. An upstream has none if
// it holds less of the prompt than another one, has no free slot, is cold or limited, or warms up. The home of a prompt that nobody
// holds has it too, and so stays ahead of the preferred ones by its bonus.
func (c *Picker) lead(p *pool, v candidate, blocks int, now time.Time) float64 {
	m := v.member
	if v.blocks < blocks || m.warming && now.Sub(m.added) < c.WarmUp || !c.leads(p, m, now) {
		return 0
	}
	if i, ok := p.preferred.rank[m]; !v.home && (!ok || i >= p.preferred.size) {
		return 0
	}
	return preferredLead
}

// leads reports whether an upstream may have a lead: one more call would find a free slot there, and no rate limit that others
// don't have.
func (c *Picker) leads(p *pool, m *member, now time.Time) bool {
	return !c.full(m, now) && !(p.mixed && c.named(m))
}

// full reports whether one more call would have no free slot.
func (c *Picker) full(m *member, now time.Time) bool {
	return max(float64(m.knownRequests()), m.load(now, c.ReportTTL))+1 > m.slots
}

// addPreferred adds candidates of a large pool, most of them preferred, and reports whether they suffice: more would be too many, as
// hosts with old counts then all take the same one. They don't suffice where none of them can start the call at once without a
// rate limit that others don't have, or where the call leaves the own failure domain.
func (c *Picker) addPreferred(list []candidate, p *pool, d *demand.Demand, now time.Time) ([]candidate, bool) {
	if p.preferred.size == 0 || c.chosenDomain != d.FailureDomain {
		return list, false
	}
	list = c.addRandom(list, p.preferred.order[:p.preferred.size], preferredSamples)
	list = c.addRandom(list, p.all, anySamples)
	return list, slices.ContainsFunc(list, func(v candidate) bool { return c.allowed(p, v.member, d, now) && c.leads(p, v.member, now) })
}

// countPreferred counts a call of a pool with a preference.
func (c *Picker) countPreferred(p *pool, m *member) {
	if p.preferred.size == 0 {
		return
	}
	if p.preferred.rank[m] < p.preferred.size {
		c.preferredCalls++
	} else {
		c.otherCalls++
	}
}

// Preferences returns the calls that went to preferred and to other upstreams, of pools with a preference, and the number of preferred
// upstreams of the largest one.
func (c *Picker) Preferences() (preferred, others int64, size int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.pools {
		size = max(size, p.preferred.size)
	}
	return c.preferredCalls, c.otherCalls, size
}
