package grant

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/limits/ask"
	"siskinrun/internal/limits/award"
	"siskinrun/internal/limits/holding"
	"siskinrun/internal/limits/rate"
	"siskinrun/internal/limits/refill"
)

// maxAsks is the largest number of asks in a message.
const maxAsks = 4096

// sendAsks sends the asks that are due to the owner of a group and applies its reply.
func (g *Limiter) sendAsks(ctx context.Context, group uint64) {
	q, l := g.collectAsks(group)
	if len(q.Asks) == 0 {
		return
	}
	b, err := proto.Marshal(q)
	if err != nil {
		g.markLost(q, l)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	b, err = g.Client.CallLeader(ctx, group, methodAsk, b)
	p := &refill.Reply{}
	if err == nil {
		err = proto.Unmarshal(b, p)
	}
	if err != nil {
		metrics.GetOrRegisterMeter("rate-asks-lost", g.Metrics).Mark(int64(len(q.Asks)))
		g.markLost(q, l)
		return
	}
	g.applyReply(group, p)
	g.markLost(q, l)
}

// collectAsks collects the asks of a group that are due, reports violations of limits and forgets idle teams.
func (g *Limiter) collectAsks(group uint64) (*refill.Request, []*teamLimiter) {
	q := &refill.Request{Group: group, Host: g.Name, Boot: g.Boot}
	var l []*teamLimiter
	n := g.Timer.Now()
	for _, t := range g.groupTeams(group) {
		if len(q.Asks) == maxAsks {
			break
		}
		if err := t.takeViolation(); err != nil {
			metrics.GetOrRegisterCounter("rate-bound-broken", g.Metrics).Inc(1)
			g.Log.Error().Err(err).Str("team", t.team).Msg("team admitted more than rate and burst allow")
		}
		a, ok := t.ask(n)
		if ok {
			q.Asks = append(q.Asks, encodeAsk(a))
			l = append(l, t)
			continue
		}
		if t.idle(n) {
			g.forgetIdle(t)
		}
	}
	return q, l
}

func (g *Limiter) groupTeams(group uint64) []*teamLimiter {
	g.mu.RLock()
	defer g.mu.RUnlock()
	l := make([]*teamLimiter, 0, len(g.byGroup[group-1]))
	for t := range g.byGroup[group-1] {
		l = append(l, t)
	}
	slices.SortFunc(l, func(a, b *teamLimiter) int { return strings.Compare(a.team, b.team) })
	return l
}

// applyReply applies the awards of a reply unless a later term is known.
func (g *Limiter) applyReply(group uint64, p *refill.Reply) {
	n := g.Timer.Now()
	if !g.advanceTerm(group, p.Term) {
		return
	}
	for _, a := range p.Awards {
		g.mu.RLock()
		t := g.teams[a.Team]
		g.mu.RUnlock()
		if t != nil {
			t.award(n, decodeAward(p.Term, a))
		}
	}
}

// advanceTerm records the term of a group and reports whether no later one is known.
func (g *Limiter) advanceTerm(group, term uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &g.terms[group-1]
	*t = max(*t, term)
	return *t == term
}

// markLost marks the asks that are still pending as lost.
func (g *Limiter) markLost(q *refill.Request, l []*teamLimiter) {
	for i, a := range q.Asks {
		l[i].markLost(a.Sequence)
	}
}

func encodeAsk(a ask.Ask) *refill.Ask {
	m := &refill.Ask{
		Team:     a.Team,
		Sequence: a.Sequence,
		Term:     a.Term,
		Least:    a.Least,
		Need:     a.Need,
		Want:     a.Want,
		Demand:   a.Demand,
		Earlier:  a.Earlier,
	}
	for _, h := range a.Holdings {
		m.Holdings = append(m.Holdings, &refill.Holding{Grant: h.Grant, Left: h.Left, Returned: h.Returned})
	}
	return m
}

func decodeAsk(q *refill.Request, m *refill.Ask) ask.Ask {
	a := ask.Ask{
		Team:     m.Team,
		Host:     q.Host,
		Boot:     q.Boot,
		Sequence: m.Sequence,
		Term:     m.Term,
		Least:    max(m.Least, 0),
		Need:     max(m.Need, 0),
		Want:     max(m.Want, 0),
		Earlier:  max(m.Earlier, 0),
		Demand:   min(max(m.Demand, 0), rate.MaxRate),
	}
	for _, h := range m.Holdings {
		a.Holdings = append(a.Holdings, holding.Holding{Grant: h.Grant, Left: h.Left, Returned: h.Returned})
	}
	return a
}

func encodeAward(a award.Award) *refill.Award {
	return &refill.Award{
		Team:                  a.Team,
		Sequence:              a.Sequence,
		Grant:                 a.Grant,
		Units:                 a.Units,
		LifeNanoseconds:       int64(a.TTL),
		RetryAfterNanoseconds: int64(a.RetryAfter),
		Settling:              a.Settling,
		Burst:                 a.Burst,
		Rate:                  a.Rate,
	}
}

func decodeAward(term uint64, m *refill.Award) award.Award {
	return award.Award{
		Team:       m.Team,
		Sequence:   m.Sequence,
		Term:       term,
		Grant:      m.Grant,
		Units:      m.Units,
		TTL:        time.Duration(m.LifeNanoseconds),
		RetryAfter: time.Duration(m.RetryAfterNanoseconds),
		Settling:   m.Settling,
		Burst:      m.Burst,
		Rate:       m.Rate,
	}
}
