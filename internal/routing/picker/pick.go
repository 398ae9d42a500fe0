package picker

import (
	"slices"
	"time"

	"siskinrun/internal/data/demand"
)

const (
	// maxScan is the largest pool of which all upstreams are candidates.
	maxScan = 16
	// localSamples and otherSamples are the numbers of random candidates of the own failure domain and of the pool.
	localSamples = 2
	otherSamples = 2
	// holderSamples is the number of candidates that probably have the prefix cached, homeSamples that of addHome.
	holderSamples = 4
	homeSamples   = 1
	maxCandidates = maxScan + localSamples + otherSamples + preferredSamples + anySamples + holderSamples + homeSamples
	// probeAttempts is the number of random draws for an upstream that is due a probe.
	probeAttempts = 2
	// homeBonus is the share of a prompt that counts as cached on its home upstream when no block is known to be.
	homeBonus = 0.25
	// longPromptBlocks is the number of blocks from which on a prompt counts as long.
	longPromptBlocks = 16
)

// candidate is an upstream and the number of prompt blocks that it probably has cached.
type candidate struct {
	member *member
	blocks int
	// home means that addHome chose the upstream by the hash of the first block.
	home bool
}

// sample returns the candidates: all of a small pool, otherwise random ones of the own failure domain and of all, plus those with the prefix.
func (c *Picker) sample(p *pool, d *demand.Demand, now time.Time) []candidate {
	list := c.candidates[:0]
	if len(p.all) <= maxScan {
		for _, m := range p.all {
			list = append(list, candidate{member: m})
		}
	} else {
		var ok bool
		if list, ok = c.addPreferred(list, p, d, now); !ok {
			list = c.addRandom(list, p.domains[c.chosenDomain], localSamples)
			list = c.addRandom(list, p.all, otherSamples)
		}
	}
	if len(d.PrefixHashes) == 0 {
		return list
	}
	list = c.addHome(list, p, d)
	n := 0
	c.Affinity.Lookup(d.PrefixHashes, func(name string, blocks int) bool {
		m, ok := c.members[name]
		if ok && c.open(m) && m.serves(d) {
			list = addCandidate(list, m, blocks)
			n++
		}
		return n < holderSamples
	})
	return list
}

func (c *Picker) addRandom(list []candidate, from []*member, n int) []candidate {
	if len(from) == 0 {
		return list
	}
	for range n {
		list = addCandidate(list, from[c.random.IntN(len(from))], 0)
	}
	return list
}

// addHome adds the upstream that all hosts derive from the hash of the first block, so that requests with a new prefix tend to go to the same one.
func (c *Picker) addHome(list []candidate, p *pool, d *demand.Demand) []candidate {
	m := p.all[d.PrefixHashes[0]%uint64(len(p.all))]
	list = addCandidate(list, m, 0)
	for i := range list {
		if list[i].member == m {
			list[i].home = true
		}
	}
	return list
}

// addCandidate adds a candidate or raises the cached blocks of one that is in the list.
func addCandidate(list []candidate, m *member, blocks int) []candidate {
	for i := range list {
		if list[i].member == m {
			list[i].blocks = max(list[i].blocks, blocks)
			return list
		}
	}
	return append(list, candidate{member: m, blocks: blocks})
}

// best returns the allowed candidate with the least score, a random one of equals.
func (c *Picker) best(p *pool, list []candidate, d *demand.Demand, now time.Time) candidate {
	var best candidate
	least := 0.0
	ties := 0
	blocks := longest(list)
	for _, v := range list {
		if !c.allowed(p, v.member, d, now) {
			continue
		}
		s := c.score(v, d, p, now)
		if p.preferred.size > 0 {
			s -= c.lead(p, v, blocks, now)
		}
		if best.member == nil || s < least {
			best, least, ties = v, s, 1
			continue
		}
		if s > least {
			continue
		}
		ties++
		if c.random.IntN(ties) == 0 {
			best = v
		}
	}
	return best
}

// allowed reports whether an upstream may get a request now.
func (c *Picker) allowed(p *pool, m *member, d *demand.Demand, now time.Time) bool {
	return c.barred(p, m, d, now) == ""
}

// barred returns why an upstream may get no request now, empty if it may.
func (c *Picker) barred(p *pool, m *member, d *demand.Demand, now time.Time) string {
	r := c.ineligible(m, d, now)
	switch {
	case r != "":
		return r
	case c.closed(m, now):
		return "limited"
	case c.overfilled(p, m, now):
		return "full"
	}
	return ""
}

// eligible reports whether an upstream may get a request once it has a permit.
func (c *Picker) eligible(m *member, d *demand.Demand, now time.Time) bool {
	return c.ineligible(m, d, now) == ""
}

// ineligible returns why an upstream may get no request even with a permit, empty if it may.
func (c *Picker) ineligible(m *member, d *demand.Demand, now time.Time) string {
	switch {
	case d.Version != "" && !c.versionCertain(m, now):
		return "version-uncertain"
	case slices.Contains(d.Tried, m.upstream.Name):
		return "tried"
	case c.Ejection.Allowed(m.upstream.Name):
		return ""
	case c.Ejection.Reachable(m.upstream.Name):
		return "ejected"
	}
	return "unreachable"
}

// score returns the expected cost of one more request as a share of the upstream's slots.
func (c *Picker) score(v candidate, d *demand.Demand, p *pool, now time.Time) float64 {
	m := v.member
	if p.paced {
		return c.addPathCost(c.finishCost(v, d, p, now), m, d, p, now)
	}
	slots := m.effectiveSlots(now, c.WarmUp)
	x := (m.load(now, c.ReportTTL) + 1) / slots
	s := x
	if x > 1 {
		s += c.QueueWeight * (x - 1)
	}
	s += c.batchCost(x, float64(m.batch+m.peerBatch)/slots)
	s += c.PromptWeight * m.pendingPromptsAt(now)
	s *= m.latencyRatio(now, p.median)
	s = c.addPathCost(s, m, d, p, now)
	if len(d.PrefixHashes) > 0 {
		s += c.PrefixWeight * uncachedShare(v, len(d.PrefixHashes))
	}
	return s
}

// addPathCost adds the cost of an upstream's rate limit and of the way to it to a score.
func (c *Picker) addPathCost(s float64, m *member, d *demand.Demand, p *pool, now time.Time) float64 {
	s += c.limitCost(m, now)
	switch {
	case c.spills(p):
		s += c.domainCost(p, m, d)
	case m.upstream.FailureDomain != d.FailureDomain:
		s += c.LocalityWeight
	}
	if c.Paths != nil && !c.Paths.Direct(m.upstream.Name) {
		s += c.GatewayWeight
	}
	return s
}

// batchCost returns the cost of batch work on an upstream for one more online request, given the shares of the slots that
// either would take. Batch work slows the request down a little; where no slot is left, a run must first be stopped.
func (c *Picker) batchCost(online, batch float64) float64 {
	s := c.BatchWeight * batch
	if batch > 0 && online+batch > 1 {
		s += c.DisplacementWeight
	}
	return s
}

// uncachedPrompts returns the prompt computation left for the upstream, as a multiple of a prompt of longPromptBlocks.
func (v candidate) uncachedPrompts(d *demand.Demand) float64 {
	if len(d.PrefixHashes) == 0 {
		return 1
	}
	return float64(len(d.PrefixHashes)-v.blocks) / longPromptBlocks
}

// uncachedShare returns the share of the prompt that is not cached, scaled down for prompts below longPromptBlocks.
func uncachedShare(v candidate, n int) float64 {
	length := min(float64(n)/longPromptBlocks, 1)
	share := 1 - float64(v.blocks)/float64(n)
	if v.home && v.blocks == 0 {
		share -= homeBonus
	}
	return length * share
}

// probe returns an ejected upstream that is due a probe, if one of a few random draws hits it.
func (c *Picker) probe(p *pool, d *demand.Demand, now time.Time) *member {
	for range probeAttempts {
		m := p.all[c.random.IntN(len(p.all))]
		if d.Version != "" && !c.versionCertain(m, now) {
			continue
		}
		if c.Ejection.Allowed(m.upstream.Name) || slices.Contains(d.Tried, m.upstream.Name) || c.closed(m, now) {
			continue
		}
		if c.Ejection.Probe(m.upstream.Name, d.Repeatable, now) {
			return m
		}
	}
	return nil
}

// scan scores a whole pool, which happens only if no sampled upstream is allowed.
func (c *Picker) scan(p *pool, d *demand.Demand, now time.Time) *member {
	if len(p.all) <= maxScan {
		return nil
	}
	var best *member
	least := 0.0
	for _, m := range p.all {
		if !c.allowed(p, m, d, now) {
			continue
		}
		s := c.score(candidate{member: m}, d, p, now)
		if best == nil || s < least {
			best, least = m, s
		}
	}
	return best
}

// serves reports whether the upstream serves the service, software version and model of a demand.
func (m *member) serves(d *demand.Demand) bool {
	return m.upstream.Service == d.Service && (d.Version == "" || m.upstream.Version == d.Version) &&
		slices.Contains(m.models, d.Model)
}
