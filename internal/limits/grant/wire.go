package grant

import (
	"context"
	"slices"
	"strings"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/limits/deputy"
	"siskinrun/internal/limits/grantbalance"
	"siskinrun/internal/limits/grantreply"
	"siskinrun/internal/limits/grantrequest"
	"siskinrun/internal/limits/rate"
	"siskinrun/internal/limits/refill"
)

// maxRequests is the largest number of requests in a message.
const maxRequests = 4096

// sendRequests sends the requests that are due to the owner of a group and applies its reply.
func (g *Limiter) sendRequests(ctx context.Context, group uint64) {
	q, l, sent := g.collectRequests(group)
	if q == nil {
		return
	}
	b, err := proto.Marshal(q)
	if err != nil {
		g.markLost(q, l)
		return
	}
	timeout := callTimeout
	if q.Deputy {
		timeout = deputy.AnswerTime // a later reply would not count
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	b, err = g.Client.CallLeader(ctx, group, methodRequest, b)
	p := &refill.Reply{}
	if err == nil {
		err = proto.Unmarshal(b, p)
	}
	if err != nil {
		metrics.GetOrRegisterMeter("rate-asks-lost", g.Metrics).Mark(int64(len(q.Requests)))
		g.markLost(q, l)
		g.setLost(group, true)
		return
	}
	g.applyReply(q, sent, p)
	g.markLost(q, l)
	g.setLost(group, settling(p))
}

// collectRequests collects the requests of a group that are due, reports violations of limits and forgets idle teams. It returns no
// request if there is nothing to send, and the time from which on the answer is counted.
func (g *Limiter) collectRequests(group uint64) (*refill.Request, []*teamLimiter, time.Time) {
	q := &refill.Request{Group: group, Host: g.Name, Boot: g.Boot}
	var l []*teamLimiter
	n := g.Timer.Now()
	for _, t := range g.groupTeams(group) {
		if len(q.Requests) == maxRequests {
			break
		}
		if err := t.takeViolation(); err != nil {
			metrics.GetOrRegisterCounter("rate-bound-broken", g.Metrics).Inc(1)
			g.Log.Error().Err(err).Str("team", t.team).Msg("team admitted more than rate and burst allow")
		}
		a, ok := t.nextRequest(n)
		if ok {
			q.Requests = append(q.Requests, encodeRequest(a))
			l = append(l, t)
			continue
		}
		if t.idle(n) {
			g.forgetIdle(t)
		}
	}
	if due := g.addDeputy(q, n); !due && len(l) == 0 {
		return nil, nil, n
	}
	g.noteAsked(group, n)
	return q, l, n
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

// applyReply applies the replies of a reply unless a later term is known.
func (g *Limiter) applyReply(q *refill.Request, sent time.Time, p *refill.Reply) {
	n := g.Timer.Now()
	if !g.advanceTerm(q.Group, p.Term) {
		return
	}
	g.applyPromise(q, sent, p)
	for _, a := range p.Replies {
		g.mu.RLock()
		t := g.teams[a.Team]
		g.mu.RUnlock()
		if t != nil {
			t.applyReply(n, decodeReply(p.Term, a))
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

// markLost marks the requests that are still pending as lost.
func (g *Limiter) markLost(q *refill.Request, l []*teamLimiter) {
	for i, a := range q.Requests {
		l[i].markLost(a.Sequence)
	}
}

func encodeRequest(a grantrequest.Request) *refill.GrantRequest {
	m := &refill.GrantRequest{
		Team:     a.Team,
		Sequence: a.Sequence,
		Term:     a.Term,
		Least:    a.Least,
		Need:     a.Need,
		Want:     a.Want,
		Demand:   a.Demand,
		Earlier:  a.Earlier,
	}
	for _, h := range a.Balances {
		m.Balances = append(m.Balances, &refill.GrantBalance{Grant: h.Grant, Left: h.Left, Returned: h.Returned})
	}
	return m
}

func decodeRequest(q *refill.Request, m *refill.GrantRequest) grantrequest.Request {
	a := grantrequest.Request{
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
	for _, h := range m.Balances {
		a.Balances = append(a.Balances, grantbalance.Balance{Grant: h.Grant, Left: h.Left, Returned: h.Returned})
	}
	return a
}

func encodeReply(a grantreply.Reply) *refill.GrantReply {
	return &refill.GrantReply{
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

func decodeReply(term uint64, m *refill.GrantReply) grantreply.Reply {
	return grantreply.Reply{
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
