package dispatch

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/permit"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/streamstart"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/affinity"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	// minRetryAfter is the shortest Retry-After of a refused call that did not run: other upstreams may take it at once.
	minRetryAfter = 100 * time.Millisecond
	// maxUnreachable is the number of attempts of a call after which an unreachable upstream also uses the retry
	// budget. Earlier ones do not, since they put no load on an upstream.
	maxUnreachable = 6
	// maxLost is the number of attempts that one call may lose with upstreams before their answers begin, if other calls
	// may have the same part in their prompts: it may be what ends them.
	maxLost = 2
)

// picker picks upstreams and is told the outcome of the calls on them.
type picker interface {
	Pick(now time.Time, d demand.Demand) (upstream.Upstream, bool)
	Soonest(now time.Time, d demand.Demand) (upstream.Upstream, time.Time, bool)
	Started(name string)
	Finished(name string, o outcome.Outcome, latency time.Duration, at time.Time)
	VersionDuring(u upstream.Upstream, began time.Time) (version string, certain bool)
}

// retryBudget decides whether a call may be retried.
type retryBudget interface {
	Request(now time.Time)
	Observe(o outcome.Outcome)
	Allow(now time.Time, v verdict.Verdict, r route.Route, attempts, runs int) bool
}

// transport sends one call to one upstream.
type transport interface {
	Do(ctx context.Context, address string, c *call.Call) (*answer.Answer, error)
}

// canceller cancels a call at an upstream.
type canceller interface {
	Cancel(u upstream.Upstream, id string)
}

// observer is told when a call begins, answers, sends further events and ends.
type observer interface {
	Begin(upstream string, c *call.Call)
	First(upstream string, c *call.Call, d time.Duration)
	Gap(upstream string, c *call.Call, d time.Duration)
	End(upstream string, c *call.Call)
}

// streams remembers what began the stream of a call, for hosts at which the caller takes it up again.
type streams interface {
	Record(call string, s streamstart.Start)
}

// guard keeps calls that end upstreams away from them.
type guard interface {
	Blocks(c *call.Call) bool
	Try(ctx context.Context, c *call.Call) (over func(), err error)
	Began(c *call.Call)
	Lost(u upstream.Upstream, c *call.Call, sent time.Time, answering bool)
}

// paths tells whether a connection that broke, direct or through a gateway, did so with the path to its upstream.
type paths interface {
	PathLost(ctx context.Context, u upstream.Upstream, gateway string) bool
}

// permits holds calls to the rate limits that upstreams name.
type permits interface {
	Take(ctx context.Context, u upstream.Upstream, batch bool, wait time.Duration) permit.Permit
}

// gate tells which upstreams may get work.
type gate interface {
	Open(u upstream.Upstream) bool
	// Changed returns a channel that is closed when other upstreams may get work.
	Changed() <-chan struct{}
}

// Dispatcher sends calls to upstreams.
type Dispatcher struct {
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// Picker picks the upstream of each attempt.
	Picker picker
	// Permits gives the permits without which nothing is sent.
	Permits permits
	// Gate, if set, tells which upstreams may get work: calls don't wait for the permits of others.
	Gate gate
	// RetryBudget limits further attempts.
	RetryBudget retryBudget
	// Transport sends each attempt.
	Transport transport
	// Canceller cancels abandoned attempts at their upstream.
	Canceller canceller
	// Observer is told of each attempt.
	Observer observer
	// Streams is told what began each stream that may be resumed.
	Streams streams
	// Guard tells which calls no upstream may get.
	Guard guard
	// Paths, if set, is asked which side is to blame for a connection that broke.
	Paths paths
	// PlainStreams says that the end of its body ends a stream, and that a broken stream is not resumed on its own
	// upstream, but only on another one and only if the call may be repeated.
	PlainStreams bool
	// Timer is the clock.
	Timer *timer.Service
	// Log receives a line for each upstream that is lost before its answer begins.
	Log zerolog.Logger
}

// Serve sends a call and returns its answer; the error is a refusal whose verdict covers all attempts.
func (d *Dispatcher) Serve(ctx context.Context, c *call.Call) (*answer.Answer, error) {
	d.RetryBudget.Request(d.Timer.Now())
	s := &delivery{dispatcher: d, call: c, demand: d.Demand(c), takesUp: c.Stream && c.Offset > 0 && c.Method != methodHead}
	a, u, err := s.run(ctx)
	if err != nil {
		return nil, err
	}
	if isStream(c, a) {
		return d.relayStream(ctx, c, a, u), nil
	}
	return a, nil
}

// ServeOn sends a call once, to the given upstream.
func (d *Dispatcher) ServeOn(ctx context.Context, u upstream.Upstream, c *call.Call) (*answer.Answer, error) {
	s := &delivery{dispatcher: d, call: c}
	if _, err := s.takeWithin(ctx, u, 0); err != nil {
		return nil, err
	}
	a, t, err := s.try(ctx, u, nothing)
	if err != nil {
		return nil, err
	}
	if isStream(c, a) {
		a.Body = &attemptBody{Reader: a.Body, Closer: a.Body, attempt: t}
	}
	return a, nil
}

// Demand returns what the upstream of a call must meet.
func (d *Dispatcher) Demand(c *call.Call) demand.Demand {
	q := demand.Demand{
		Service:       c.RouteConfig.Service,
		Version:       c.Start.Version,
		Model:         c.Model,
		FailureDomain: d.FailureDomain,
		Batch:         c.Batch,
		Repeatable:    c.RouteConfig.Repeatable,
	}
	q.PrefixHashes = c.PrefixHashes
	if len(c.Prompt) > 0 {
		q.PrefixHashes = affinity.Hash(nil, c.RouteConfig.Model, c.Prompt)
	}
	return q
}

// delivery holds the state of the attempts of one call.
type delivery struct {
	dispatcher *Dispatcher
	call       *call.Call
	demand     demand.Demand
	verdict    verdict.Verdict
	// runs is the number of failed attempts that may have run.
	runs int
	// takesUp says that the caller takes a stream up, of which no other success holds the rest.
	takesUp bool
}

// run sends the call until an attempt succeeds or none is allowed.
func (s *delivery) run(ctx context.Context) (*answer.Answer, *attempt, error) {
	d := s.dispatcher
	var last error
	for n := 1; ; n++ {
		if d.Guard.Blocks(s.call) {
			return nil, nil, s.crashing(refusal.CrashingPrompt)
		}
		over, err := d.Guard.Try(ctx, s.call)
		if err != nil {
			return nil, nil, s.crashing(refusal.Of(err))
		}
		u, err := s.admit(ctx)
		if err != nil {
			over()
			return nil, nil, s.notAdmitted(last, err)
		}
		a, t, err := s.try(ctx, u, over)
		if err == nil {
			return a, t, nil
		}
		f := refusal.Of(err)
		s.verdict = verdict.Worse(s.verdict, f.Verdict)
		last = s.withWorstVerdict(f)
		if f.Verdict != verdict.NotRun {
			s.runs++
		}
		s.demand.Tried = append(s.demand.Tried, u.Name)
		if !d.Timer.Now().Before(s.call.Deadline) {
			return nil, nil, last
		}
		if ctx.Err() == nil && sentNothing(f.Code) && n < maxUnreachable {
			continue
		}
		if lostTooOften(s.call) {
			return nil, nil, last
		}
		if ctx.Err() != nil || !d.RetryBudget.Allow(d.Timer.Now(), f.Verdict, s.call.RouteConfig, n, s.runs) {
			return nil, nil, last
		}
	}
}

// sentNothing reports whether an attempt with this code has put no load on an upstream. One whose upstream may get no work any
// more is no evidence about the upstream.
func sentNothing(code string) bool {
	return code == codeUnreachable || code == refusal.CodeUpstreamEvacuated
}

// lostTooOften reports whether a call has lost as many upstreams as it may.
func lostTooOften(c *call.Call) bool {
	return c.Record.Lost >= maxLost && len(c.Parts) > 0
}

func (s *delivery) pick() (upstream.Upstream, bool) {
	return s.dispatcher.Picker.Pick(s.dispatcher.Timer.Now(), s.demand)
}

// try makes one attempt on one upstream, and calls over once its answer has begun or it has ended.
func (s *delivery) try(ctx context.Context, u upstream.Upstream, over func()) (*answer.Answer, *attempt, error) {
	s.call.Upstream = u
	t := s.dispatcher.begin(u, s.call)
	t.over = over
	a, err := s.dispatcher.Transport.Do(ctx, u.Address, s.call)
	if err != nil {
		t.end(ctx, err)
		return nil, nil, err
	}
	a.Upstream = u.Name
	t.answered(a)
	if isStream(s.call, a) {
		return a, t, nil
	}
	if err := t.buffer(ctx, a); err != nil {
		return nil, nil, err
	}
	if s.takesUp && a.OtherSuccess() {
		_ = a.Body.Close()
		return nil, nil, notResumed
	}
	return a, t, nil
}

// withWorstVerdict returns the refusal of the last attempt with the worst verdict of all attempts.
func (s *delivery) withWorstVerdict(f *refusal.Refusal) *refusal.Refusal {
	if s.verdict != verdict.NotRun {
		return f.WithVerdict(s.verdict)
	}
	return f.WithRetryAfter(max(f.RetryAfter, minRetryAfter)).WithJitter()
}

// crashing refuses a call that is quarantined or suspected, with the worst verdict of its attempts.
func (s *delivery) crashing(f *refusal.Refusal) error {
	if s.verdict == verdict.NotRun {
		return f
	}
	return refusal.NewMayHaveRun(statusBadGateway, f.Code, f.Message)
}

// nothing is the end of an attempt that is no trial.
func nothing() {}

// notAdmitted returns the error of a call that no upstream may get: that of its last attempt if there was one, else err with
// the worst verdict of the attempts before.
func (s *delivery) notAdmitted(last, err error) error {
	if last != nil {
		return last
	}
	return refusal.Of(err).WithVerdict(s.verdict)
}
