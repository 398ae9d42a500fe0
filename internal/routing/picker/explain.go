package picker

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"siskinrun/internal/base/duration"
	candidateview "siskinrun/internal/data/candidate"
	"siskinrun/internal/data/choice"
	"siskinrun/internal/data/demand"
)

// These are the steps of choose after each of which candidates are left.
const (
	stageSampled = "sampled"
	stageSparing = "sparing"
	stageVacant  = "vacant"
)

// Explain returns what Pick would return for a request at a time, and why each upstream of the service is chosen or skipped. It
// runs the decision of Pick on a copy, so that nothing changes. Its cost grows with the upstreams of the service.
func (c *Picker) Explain(now time.Time, d demand.Demand) choice.Choice {
	c.mu.Lock()
	defer c.mu.Unlock()
	k := c.clone(&d)
	left := map[string]map[*member]bool{}
	v, ok := k.choose(now, &d, func(stage string, list []candidate) {
		left[stage] = map[*member]bool{}
		for _, o := range list {
			left[stage][o.member] = true
		}
	})
	r := choice.Choice{FailureDomain: k.chosenDomain, Candidates: []candidateview.Candidate{}}
	if c.HeardAt != nil {
		r.Heard = ageOf(c.HeardAt(), now)
	}
	if ok {
		r.Upstream = v.member.upstream.Name
	}
	p := k.pools[poolOf(&d)]
	if p != nil && k.spills(p) {
		r.Leaving = p.spill.Reason()
	}
	if p != nil && !ok && k.Limits != nil {
		r.NextPermit = k.nextPermit(p, &d, now)
	}
	for _, m := range slices.SortedFunc(maps.Values(k.members), byName) {
		r.Candidates = append(r.Candidates, k.explainMember(p, m, &d, now, v, left))
	}
	return r
}

// nextPermit returns the time until an upstream has a permit for a request, nil if none would get it with one either.
func (c *Picker) nextPermit(p *pool, d *demand.Demand, now time.Time) *duration.Duration {
	m, t := c.soonest(p, d, now, true)
	if m == nil {
		m, t = c.soonest(p, d, now, false)
	}
	if m == nil {
		return nil
	}
	w := duration.Duration(max(t.Sub(now), 0))
	return &w
}

// explainMember returns what the decision made of one upstream of the service.
func (c *Picker) explainMember(
	p *pool, m *member, d *demand.Demand, now time.Time, v chosen, left map[string]map[*member]bool,
) candidateview.Candidate {
	r := candidateview.Candidate{
		Upstream:      m.upstream.Name,
		FailureDomain: m.upstream.FailureDomain,
		Version:       m.upstream.Version,
		Slots:         int(m.slots),
		Running:       m.own + m.peers,
		Batch:         m.batch + m.peerBatch,
		Announced:     ageOf(m.announcedAt, now),
		Reported:      ageOf(m.reportTaken, now),
		Chosen:        m == v.member,
		Reason:        c.outside(p, m, d),
	}
	if r.Reason != "" {
		return r
	}
	r.Reason = c.barred(p, m, d, now)
	if r.Reason == "" {
		o := candidate{member: m}
		for _, l := range c.candidates {
			if l.member == m {
				o = l
			}
		}
		if r.Chosen && v.scored {
			o = v.candidate
		}
		s := c.score(o, d, p, now)
		if p.preferred.size > 0 {
			s -= c.lead(p, o, longest(c.candidates[:]), now)
		}
		r.Score = &s
	}
	switch {
	case r.Chosen && v.probe:
		r.Reason = "probe"
	case r.Chosen:
		r.Reason = "chosen"
	case r.Reason == "":
		r.Reason = c.passedOver(m, now, v, left)
	}
	return r
}

// outside returns why an upstream of the service is in no choice for a request, empty if it is in one.
func (c *Picker) outside(p *pool, m *member, d *demand.Demand) string {
	switch {
	case m.upstream.Leaving:
		return "leaving"
	case !c.open(m) && !c.opened:
		return "no-configuration"
	case !c.open(m):
		return "evacuated"
	case !slices.Contains(m.models, d.Model):
		return "other-model"
	case !m.serves(d):
		return "other-version"
	case p == nil || !slices.Contains(p.all, m):
		return "not-applied"
	}
	return ""
}

// passedOver returns why an upstream that may get the request is not the one that does.
func (c *Picker) passedOver(m *member, now time.Time, v chosen, left map[string]map[*member]bool) string {
	switch {
	case v.probe:
		return "probe-elsewhere"
	case v.scored && !left[stageSampled][m] && !left[stageVacant][m]:
		return "not-sampled"
	case left[stageSampled][m] && !left[stageSparing][m]:
		return "reserve-kept"
	case c.freeSlots(m, now) < 1:
		return "full"
	case v.member != nil && m.upstream.FailureDomain != v.member.upstream.FailureDomain:
		return "other-domain"
	}
	return "higher-score"
}

// clone returns a copy of the picker for one decision on a request: the upstreams of its service, the pool and all that the
// decision may change. The affinity index is shared, since a decision only reads it.
func (c *Picker) clone(d *demand.Demand) *Picker {
	s := *c.source
	k := &Picker{
		PrefixWeight: c.PrefixWeight, LocalityWeight: c.LocalityWeight, DomainTraffic: c.DomainTraffic,
		PromptWeight: c.PromptWeight, QueueWeight: c.QueueWeight, BatchWeight: c.BatchWeight,
		DisplacementWeight: c.DisplacementWeight, LimitWeight: c.LimitWeight, GatewayWeight: c.GatewayWeight,
		WarmUp: c.WarmUp, ReportTTL: c.ReportTTL, VersionTTL: c.VersionTTL, HeardAt: c.HeardAt,
		Ejection: c.Ejection.Clone(), Affinity: c.Affinity, Limits: c.Limits, RunsWhole: c.RunsWhole, Gate: c.Gate, Paths: c.Paths,
		Preferred: c.Preferred,
		source:    &s, random: rand.New(&s), members: map[string]*member{}, pools: map[poolKey]*pool{},
		lastSweep: c.lastSweep, latest: c.latest, spillReason: c.spillReason, opened: c.opened,
	}
	for n, m := range c.members {
		if m.upstream.Service == d.Service {
			o := *m
			k.members[n] = &o
		}
	}
	if p, ok := c.pools[poolOf(d)]; ok {
		k.pools[poolOf(d)] = p.clone(k.members)
	}
	return k
}

// clone returns a copy of a pool that consists of copied members.
func (p *pool) clone(members map[string]*member) *pool {
	k := *p
	k.latencies = nil
	k.all = copied(p.all, members)
	k.domains = make(map[string][]*member, len(p.domains))
	for n, l := range p.domains {
		k.domains[n] = copied(l, members)
	}
	if p.spill != nil {
		k.spill = p.spill.Clone()
	}
	k.preferred.order = copied(p.preferred.order, members)
	k.preferred.rank = make(map[*member]int, len(k.preferred.order))
	for i, m := range k.preferred.order {
		k.preferred.rank[m] = i
	}
	return &k
}

// copied returns the copies of the members of a list.
func copied(list []*member, members map[string]*member) []*member {
	l := make([]*member, len(list))
	for i, m := range list {
		l[i] = members[m.upstream.Name]
	}
	return l
}

// ageOf returns the time since a time, nil for the zero time.
func ageOf(at, now time.Time) *duration.Duration {
	if at.IsZero() {
		return nil
	}
	d := duration.Duration(max(now.Sub(at), 0))
	return &d
}
