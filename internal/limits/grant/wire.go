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

// maxAsks bounds the asks of one message.
const maxAsks = 4096

// ask sends what is due for the teams of one group and spreads the answer.
func (g *Grant) ask(ctx context.Context, group uint64) {
	q, l := g.collect(group)
	if len(q.Asks) == 0 {
		return
	}
	b, err := proto.Marshal(q)
	if err != nil {
		g.fail(q, l)
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
		g.fail(q, l)
		return
	}
	g.spread(group, p)
	g.fail(q, l)
}

// collect gathers the asks that are due and forgets teams that are idle.
func (g *Grant) collect(group uint64) (*refill.Request, []*wallet) {
	q := &refill.Request{Group: group, Host: g.Name, Boot: g.Boot}
	var l []*wallet
	n := g.Timer.Now()
	for _, w := range g.active(group) {
		if len(q.Asks) == maxAsks {
			break
		}
		if err := w.check(); err != nil {
			metrics.GetOrRegisterCounter("rate-bound-broken", g.Metrics).Inc(1)
			g.Log.Error().Err(err).Str("team", w.team).Msg("more admitted than rate and burst allow")
		}
		a, ok := w.ask(n)
		if ok {
			q.Asks = append(q.Asks, packAsk(a))
			l = append(l, w)
			continue
		}
		if w.idle(n) {
			g.forget(w)
		}
	}
	return q, l
}

func (g *Grant) active(group uint64) []*wallet {
	g.mu.RLock()
	defer g.mu.RUnlock()
	l := make([]*wallet, 0, len(g.members[group-1]))
	for w := range g.members[group-1] {
		l = append(l, w)
	}
	slices.SortFunc(l, func(a, b *wallet) int { return strings.Compare(a.team, b.team) })
	return l
}

// spread hands awards to the wallets of their teams.
func (g *Grant) spread(group uint64, p *refill.Reply) {
	n := g.Timer.Now()
	if !g.advance(group, p.Term) {
		return
	}
	for _, a := range p.Awards {
		g.mu.RLock()
		w := g.wallets[a.Team]
		g.mu.RUnlock()
		if w != nil {
			w.award(n, unpackAward(p.Term, a))
		}
	}
}

// advance notes the term of a group and reports whether it is not an earlier one.
func (g *Grant) advance(group, term uint64) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := &g.terms[group-1]
	*t = max(*t, term)
	return *t == term
}

// fail marks the asks without an answer as lost.
func (g *Grant) fail(q *refill.Request, l []*wallet) {
	for i, a := range q.Asks {
		l[i].lost(a.Sequence)
	}
}

func packAsk(a ask.Ask) *refill.Ask {
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

func unpackAsk(q *refill.Request, m *refill.Ask) ask.Ask {
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

func packAward(a award.Award) *refill.Award {
	return &refill.Award{
		Team:                  a.Team,
		Sequence:              a.Sequence,
		Grant:                 a.Grant,
		Units:                 a.Units,
		LifeNanoseconds:       int64(a.Life),
		RetryAfterNanoseconds: int64(a.RetryAfter),
		Settling:              a.Settling,
		Burst:                 a.Burst,
		Rate:                  a.Rate,
	}
}

func unpackAward(term uint64, m *refill.Award) award.Award {
	return award.Award{
		Team:       m.Team,
		Sequence:   m.Sequence,
		Term:       term,
		Grant:      m.Grant,
		Units:      m.Units,
		Life:       time.Duration(m.LifeNanoseconds),
		RetryAfter: time.Duration(m.RetryAfterNanoseconds),
		Settling:   m.Settling,
		Burst:      m.Burst,
		Rate:       m.Rate,
	}
}
