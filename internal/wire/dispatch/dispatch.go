package dispatch

import (
	"context"
	"time"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/affinity"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	retryAfter = time.Second
	// mostConnects is how many upstreams a call may find unreachable, which costs these nothing.
	mostConnects = 6
)

// chooser picks upstreams and learns how the calls on them ended.
type chooser interface {
	Pick(now time.Time, d demand.Demand) (upstream.Upstream, bool)
	Started(name string)
	Finished(name string, o outcome.Outcome, latency time.Duration, at time.Time)
}

// budget decides whether a call may be sent once more.
type budget interface {
	Request(now time.Time)
	Observe(o outcome.Outcome)
	Allow(now time.Time, v verdict.Verdict, r route.Route, attempts, runs int) bool
}

// exchanger carries one call to one upstream.
type exchanger interface {
	Do(ctx context.Context, address string, c *call.Call) (*answer.Answer, error)
}

// canceller tells an upstream that nobody wants an answer any more.
type canceller interface {
	Cancel(u upstream.Upstream, id string)
}

// observer hears of online calls as they begin, give their first byte and end.
type observer interface {
	Begin(upstream string, c *call.Call)
	First(upstream string, c *call.Call, d time.Duration)
	Gap(upstream string, c *call.Call, d time.Duration)
	End(upstream string, c *call.Call)
}

// Dispatch sends calls to upstreams.
type Dispatch struct {
	// FailureDomain is where this host runs.
	FailureDomain string
	// Choose picks the upstream of each attempt.
	Choose chooser
	// Retry is the budget of further attempts.
	Retry budget
	// Exchange carries each attempt.
	Exchange exchanger
	// Cancel ends at the upstream what was given up here.
	Cancel canceller
	// Observe hears of each attempt.
	Observe observer
	// PlainStreams says that streams end with their bodies and that only calls that may be repeated are resumed.
	PlainStreams bool
	// Timer tells the time.
	Timer *timer.Service
}

// Serve sends a call and returns the head of the answer; the error is a refusal with a true verdict.
func (d *Dispatch) Serve(ctx context.Context, c *call.Call) (*answer.Answer, error) {
	d.Retry.Request(d.Timer.Now())
	s := &search{dispatch: d, call: c, demand: d.demand(c)}
	a, u, err := s.run(ctx)
	if err != nil {
		return nil, err
	}
	if c.Stream && a.ContentType == eventStream {
		return d.relay(ctx, c, a, u), nil
	}
	return a, nil
}

// ServeOn sends a call once to the given upstream.
func (d *Dispatch) ServeOn(ctx context.Context, u upstream.Upstream, c *call.Call) (*answer.Answer, error) {
	s := &search{dispatch: d, call: c}
	a, t, err := s.try(ctx, u)
	if err != nil {
		return nil, err
	}
	if c.Stream && a.ContentType == eventStream {
		a.Body = &whole{Reader: a.Body, Closer: a.Body, attempt: t}
	}
	return a, nil
}

func (d *Dispatch) demand(c *call.Call) demand.Demand {
	q := demand.Demand{
		Service:       c.Rule.Service,
		Model:         c.Model,
		FailureDomain: d.FailureDomain,
		Batch:         c.Batch,
		Repeatable:    c.Rule.Repeatable,
	}
	q.Prefix = c.Prefix
	if len(c.Prompt) > 0 {
		q.Prefix = affinity.Hash(nil, c.Rule.Model, c.Prompt)
	}
	return q
}

// search is the attempts of one call.
type search struct {
	dispatch *Dispatch
	call     *call.Call
	demand   demand.Demand
	verdict  verdict.Verdict
	// runs is the number of attempts that may have run.
	runs int
}

// run sends the call until an attempt succeeds or none is allowed.
func (s *search) run(ctx context.Context) (*answer.Answer, *attempt, error) {
	d := s.dispatch
	var last error
	for n := 1; ; n++ {
		u, ok := s.pick()
		if !ok {
			return nil, nil, s.none(last)
		}
		a, t, err := s.try(ctx, u)
		if err == nil {
			return a, t, nil
		}
		f := refusal.Of(err)
		s.verdict = verdict.Worse(s.verdict, f.Verdict)
		last = s.honest(f)
		if f.Verdict != verdict.NotRun {
			s.runs++
		}
		s.demand.Tried = append(s.demand.Tried, u.Name)
		if ctx.Err() == nil && f.Code == codeUnreachable && n < mostConnects {
			continue
		}
		if ctx.Err() != nil || !d.Retry.Allow(d.Timer.Now(), f.Verdict, s.call.Rule, n, s.runs) {
			return nil, nil, last
		}
	}
}

func (s *search) pick() (upstream.Upstream, bool) {
	return s.dispatch.Choose.Pick(s.dispatch.Timer.Now(), s.demand)
}

// try sends the call to one upstream.
func (s *search) try(ctx context.Context, u upstream.Upstream) (*answer.Answer, *attempt, error) {
	s.call.To = u
	t := s.dispatch.begin(u, s.call)
	a, err := s.dispatch.Exchange.Do(ctx, u.Address, s.call)
	if err != nil {
		t.end(ctx, err)
		return nil, nil, err
	}
	a.Upstream = u.Name
	t.first()
	if s.call.Stream && a.ContentType == eventStream {
		return a, t, nil
	}
	if err := t.settle(ctx, a); err != nil {
		return nil, nil, err
	}
	return a, t, nil
}

// honest returns the refusal of the last attempt with the verdict of all of them.
func (s *search) honest(f *refusal.Refusal) *refusal.Refusal {
	if s.verdict != verdict.NotRun {
		return f.WithVerdict(s.verdict)
	}
	return f.WithRetryAfter(max(f.RetryAfter, retryAfter))
}

func (s *search) none(last error) error {
	if last != nil {
		return last
	}
	return refusal.NewNotRun(503, "no-upstream", "no upstream can take the call now").WithRetryAfter(retryAfter)
}
