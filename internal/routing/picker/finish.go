package picker

import (
	"math"
	"slices"
	"time"

	"siskinrun/internal/data/demand"
)

const (
	// lastingWeight is the weight of one sample in the moving average of the lasting speed, which changes with the machine only.
	lastingWeight = 0.05
	// minLasting and maxLasting bound the lasting slowness relative to the median.
	minLasting = 0.4
	maxLasting = 4
	// unexplainedFade is the time constant with which load that counts do not explain fades where reports come with each answer: by
	// then the counts have come.
	unexplainedFade = 300 * time.Millisecond
)

// SetPace applies the pace that an upstream reported to any host; older and repeated ones are ignored.
func (c *Picker) SetPace(name string, pace int, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.members[name]; ok {
		m.pace.Observe(pace, at)
	}
}

// observeWork records the time that an answer took, corrected by the pace of the upstream. An answer that waited for a slot
// says nothing of the speed.
func (m *member) observeWork(latency time.Duration, at time.Time) {
	if !m.pace.Reports(at) || float64(m.knownRequests()) > m.slots {
		return
	}
	v := float64(latency) / m.pace.At(at)
	m.workAt = at
	if m.work == 0 {
		m.work = v
		return
	}
	m.work += (v - m.work) * lastingWeight
}

// recentLoad returns the running and waiting online requests where reports come with each answer.
func (m *member) recentLoad(now time.Time) float64 {
	n := float64(m.own + m.peers)
	if m.unexplained == 0 {
		return n
	}
	return n + m.unexplained*math.Exp(-float64(max(now.Sub(m.reportTaken), 0))/float64(unexplainedFade))
}

// lasting returns how long work usually takes at the upstream relative to the median of its pool. It drifts to 1 without new
// samples, so that an upstream that looked slow gets calls again.
func (m *member) lasting(median float64, now time.Time) float64 {
	if m.work == 0 || median == 0 {
		return 1
	}
	r := min(max(m.work/median, minLasting), maxLasting)
	age := now.Sub(m.workAt)
	if age <= latencyFreshTime {
		return r
	}
	return 1 + (r-1)*float64(latencyFreshTime)/float64(age)
}

// updatePaced notes whether an upstream of the pool reports its pace, and the median of the lasting speeds.
func (p *pool) updatePaced(now time.Time) {
	p.paced = slices.ContainsFunc(p.all, func(m *member) bool { return m.pace.Reports(now) })
	p.medianWork = 0
	if !p.paced {
		return
	}
	p.latencies = p.latencies[:0]
	for _, m := range p.all {
		if m.work > 0 {
			p.latencies = append(p.latencies, m.work)
		}
	}
	if len(p.latencies) > 0 {
		slices.Sort(p.latencies)
		p.medianWork = p.latencies[len(p.latencies)/2]
	}
}

// finishCost returns the expected time of a request's answer at an upstream, in usual answer times of the pool: the work itself,
// beside what shares the machine, the wait for a slot, and the prompts and uncached parts to compute, all at the upstream's
// lasting speed and present pace.
func (c *Picker) finishCost(v candidate, d *demand.Demand, p *pool, now time.Time) float64 {
	m := v.member
	slots := m.effectiveSlots(now, c.WarmUp)
	x := (m.recentLoad(now) + 1) / slots
	s := 1 + x
	if x > 1 {
		s += c.QueueWeight * (x - 1)
	}
	s += c.batchCost(x, float64(m.batch+m.peerBatch)/slots)
	s += c.PromptWeight * m.pendingPromptsAt(now)
	if len(d.PrefixHashes) > 0 {
		s += c.PrefixWeight * uncachedShare(v, len(d.PrefixHashes))
	}
	return s * m.lasting(p.medianWork, now) * m.pace.At(now)
}
