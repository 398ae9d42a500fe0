package choose

import (
	"slices"
	"time"

	"siskinrun/internal/data/demand"
)

const (
	scanMax       = 16
	localSamples  = 4
	otherSamples  = 4
	holderSamples = 4
	homeSamples   = 1
	candidatesMax = scanMax + localSamples + otherSamples + holderSamples + homeSamples
	probeTries    = 2
	homeShare     = 0.25
	blocksWhole   = 16
)

// candidate is an upstream with the number of prompt blocks that it probably holds.
type candidate struct {
	member *member
	blocks int
	home   bool
}

// sample returns the upstreams to weigh: all of a small pool, else some of each domain and those with the prefix.
func (c *Choose) sample(p *pool, d *demand.Demand) []candidate {
	list := c.picks[:0]
	if len(p.all) <= scanMax {
		for _, m := range p.all {
			list = append(list, candidate{member: m})
		}
	} else {
		list = c.draw(list, p.domains[d.FailureDomain], localSamples)
		list = c.draw(list, p.all, otherSamples)
	}
	if len(d.Prefix) == 0 {
		return list
	}
	list = c.home(list, p, d)
	n := 0
	c.Affinity.Lookup(d.Prefix, func(name string, blocks int) bool {
		m, ok := c.members[name]
		if ok && !m.upstream.Leaving && m.serves(d) {
			list = hold(list, m, blocks)
			n++
		}
		return n < holderSamples
	})
	return list
}

func (c *Choose) draw(list []candidate, from []*member, n int) []candidate {
	if len(from) == 0 {
		return list
	}
	for range n {
		list = hold(list, from[c.random.IntN(len(from))], 0)
	}
	return list
}

// home adds the upstream to which all hosts send a prompt start that no one is known to hold.
func (c *Choose) home(list []candidate, p *pool, d *demand.Demand) []candidate {
	m := p.all[d.Prefix[0]%uint64(len(p.all))]
	list = hold(list, m, 0)
	for i := range list {
		if list[i].member == m {
			list[i].home = true
		}
	}
	return list
}

// hold adds a candidate, or notes more held blocks of one that is there.
func hold(list []candidate, m *member, blocks int) []candidate {
	for i := range list {
		if list[i].member == m {
			list[i].blocks = max(list[i].blocks, blocks)
			return list
		}
	}
	return append(list, candidate{member: m, blocks: blocks})
}

func (c *Choose) best(list []candidate, d *demand.Demand, now time.Time) *member {
	p := c.pools[poolKey{d.Service, d.Model}]
	var best *member
	least, prompts := 0.0, 0.0
	ties := 0
	for _, v := range list {
		if !c.allowed(v.member, d) {
			continue
		}
		s := c.score(v, d, p.median, now)
		if best == nil || s < least {
			best, least, ties = v.member, s, 1
			prompts = v.prompts(d)
			continue
		}
		if s > least {
			continue
		}
		ties++
		if c.random.IntN(ties) == 0 {
			best = v.member
			prompts = v.prompts(d)
		}
	}
	if best != nil {
		best.add(prompts, now)
	}
	return best
}

func (c *Choose) allowed(m *member, d *demand.Demand) bool {
	return !slices.Contains(d.Tried, m.upstream.Name) && c.Eject.Allowed(m.upstream.Name)
}

// score returns the expected cost of one more request in shares of the upstream's slots.
func (c *Choose) score(v candidate, d *demand.Demand, median float64, now time.Time) float64 {
	m := v.member
	room := m.room(now, c.WarmUp)
	x := (m.load(now, c.ReportLife) + 1) / room
	s := x
	if x > 1 {
		s += c.QueueWeight * (x - 1)
	}
	s += c.PromptWeight * m.freshNow(now)
	s *= m.ratio(now, median)
	if m.upstream.FailureDomain != d.FailureDomain {
		s += c.LocalityWeight
	}
	if len(d.Prefix) > 0 {
		s += c.PrefixWeight * missed(v, len(d.Prefix))
	}
	return s
}

// prompts returns how much of a usual prompt the upstream would have to compute.
func (v candidate) prompts(d *demand.Demand) float64 {
	if len(d.Prefix) == 0 {
		return 1
	}
	return float64(len(d.Prefix)-v.blocks) / blocksWhole
}

// missed returns how much of a long prompt the upstream would have to compute, from 0 to 1.
func missed(v candidate, n int) float64 {
	length := min(float64(n)/blocksWhole, 1)
	share := 1 - float64(v.blocks)/float64(n)
	if v.home && v.blocks == 0 {
		share -= homeShare
	}
	return length * share
}

// probe returns an ejected upstream that is due one request, if chance meets it.
func (c *Choose) probe(p *pool, d *demand.Demand, now time.Time) *member {
	for range probeTries {
		m := p.all[c.random.IntN(len(p.all))]
		if c.Eject.Allowed(m.upstream.Name) || slices.Contains(d.Tried, m.upstream.Name) {
			continue
		}
		if c.Eject.Probe(m.upstream.Name, d.Repeatable, now) {
			return m
		}
	}
	return nil
}

// scan looks at a whole pool, which happens only when no sampled upstream may get work.
func (c *Choose) scan(p *pool, d *demand.Demand, now time.Time) *member {
	if len(p.all) <= scanMax {
		return nil
	}
	var best *member
	least := 0.0
	for _, m := range p.all {
		if !c.allowed(m, d) {
			continue
		}
		s := c.score(candidate{member: m}, d, p.median, now)
		if best == nil || s < least {
			best, least = m, s
		}
	}
	return best
}

// serves reports whether the upstream is in the pool of a demand.
func (m *member) serves(d *demand.Demand) bool {
	return m.upstream.Service == d.Service && slices.Contains(m.models, d.Model)
}
