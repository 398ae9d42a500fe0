package pipeline

import (
	"context"
	"io"
	"slices"
	"strings"
	"time"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/callrecord"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/inlinejob"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/requestdigest"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/streamstart"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
)

// identifier finds the team of a credential.
type identifier interface {
	Key(authorization []byte) (key.Key, error)
	Watch(k key.Key, withdrawn func()) (stop func())
}

// admission spends units of a team's rate.
type admission interface {
	Admit(ctx context.Context, team string, cost int64) (giveBack func(), err error)
}

// queue waits for a free slot.
type queue interface {
	SetTimes(c *call.Call)
	Acquire(ctx context.Context, c *call.Call) (release func(), err error)
}

// lane lets calls wait in order while all upstreams of their service are at their rate limits.
type lane interface {
	Busy(service string) bool
	Closed(service string) error
	Refuse(service string, next time.Duration) error
	Enter(service string, rank int, latest time.Time) (ticket uint64, ok bool)
	Wait(ctx context.Context, service string, ticket uint64, least time.Duration) error
	Leave(service string, ticket uint64, sent bool)
}

// dispatcher sends a call to an upstream.
type dispatcher interface {
	Serve(ctx context.Context, c *call.Call) (*answer.Answer, error)
	ServeOn(ctx context.Context, u upstream.Upstream, c *call.Call) (*answer.Answer, error)
}

// rollout returns the model version that the calls of a route use.
type rollout interface {
	Version(r route.Route) string
}

// answerTimes learns how long the answers of each route take.
type answerTimes interface {
	Observe(route string, first, whole time.Duration)
}

// deduplicator runs a call that may not be repeated at most once for each idempotency key.
type deduplicator interface {
	Serve(ctx context.Context, c *call.Call, next func(context.Context, *call.Call) (*answer.Answer, error)) (*answer.Answer, error)
}

// jobs accepts batch jobs submitted with their items inline.
type jobs interface {
	Submit(ctx context.Context, j inlinejob.Job) error
}

// streams finds what began the stream of an earlier call.
type streams interface {
	Find(ctx context.Context, call string) (streamstart.Start, bool)
}

// upstreams tells which demands any upstream meets.
type upstreams interface {
	Serves(d demand.Demand) bool
}

// guard tells which calls no upstream may get.
type guard interface {
	Blocks(c *call.Call) bool
}

// drainPolicy refuses the calls that a stopping host could not finish.
type drainPolicy interface {
	Admit(deadline time.Time) error
}

// recorder logs and counts finished calls.
type recorder interface {
	Record(r callrecord.Record)
}

// Pipeline runs each call through its steps, in order.
type Pipeline struct {
	// Identifier finds the team of a credential.
	Identifier identifier
	// FinishWithdrawn lets running calls finish when their key is withdrawn, instead of cancelling them.
	FinishWithdrawn bool
	// Configuration returns the configuration in force.
	Configuration func() *configuration.Configuration
	// Rollout moves routes to a new model version once engines have loaded it.
	Rollout rollout
	// Admission enforces the team's rate limit.
	Admission admission
	// Queue limits concurrency, serves higher ranks first and shares the slots fairly between teams.
	Queue queue
	// Lane lets calls wait that find no permit and still have time.
	Lane lane
	// Answers learns how long answers take.
	Answers answerTimes
	// Deduplicator keeps the answers of calls with an idempotency key.
	Deduplicator deduplicator
	// Jobs accepts the jobs that calls submit.
	Jobs jobs
	// Dispatcher sends the call to an upstream.
	Dispatcher dispatcher
	// Streams finds what began the streams that callers take up again.
	Streams streams
	// Upstreams tells whether any upstream can go on with a stream.
	Upstreams upstreams
	// Guard tells which calls to refuse before they wait for a slot.
	Guard guard
	// Drain refuses the calls that the host could not finish, since it stops.
	Drain drainPolicy
	// Recorder receives the record of each finished call.
	Recorder recorder
	// Timer is the clock.
	Timer *timer.Service
	// DefaultTimeout is the timeout of a route that sets none.
	DefaultTimeout time.Duration

	routes routerCache
}

// Online serves a caller's call, authenticated by the given Authorization header.
func (p *Pipeline) Online(ctx context.Context, authorization string, c *call.Call) (*answer.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &tracker{pipeline: p, call: c, cancel: cancel}
	a, err := p.online(ctx, authorization, c, t)
	return t.wrap(ctx, a, err)
}

// Batch serves the call of a batch item on an upstream; its team was authenticated when the job was accepted.
func (p *Pipeline) Batch(ctx context.Context, u upstream.Upstream, c *call.Call) (*answer.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &tracker{pipeline: p, call: c, cancel: cancel}
	a, err := p.batch(ctx, u, c)
	return t.wrap(ctx, a, err)
}

func (p *Pipeline) online(ctx context.Context, authorization string, c *call.Call, t *tracker) (*answer.Answer, error) {
	if err := p.match(c); err != nil {
		return nil, err
	}
	if err := p.identify(authorization, c, t); err != nil {
		return nil, err
	}
	if err := p.Drain.Admit(c.Deadline); err != nil {
		return nil, err
	}
	if c.RouteConfig.Jobs {
		return p.submit(ctx, c)
	}
	c.Digest = requestdigest.Of(c)
	if p.Guard.Blocks(c) {
		return nil, refusal.CrashingPrompt
	}
	if err := p.bindStream(ctx, c); err != nil {
		return nil, err
	}
	if err := p.admit(ctx, c); err != nil {
		return nil, err
	}
	return p.deduplicate(ctx, c, func(ctx context.Context, c *call.Call) (*answer.Answer, error) {
		return p.dispatch(ctx, c, t)
	})
}

// submit submits the items of a call as a job with the ID of the call.
func (p *Pipeline) submit(ctx context.Context, c *call.Call) (*answer.Answer, error) {
	if c.Items == nil || c.Team == "" {
		return nil, refusal.NewNotRun(404, "no-jobs", "jobs cannot be submitted on this interface or without a team")
	}
	items, err := c.Items()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(p.Timer.Now()))
	defer cancel()
	j := inlinejob.Job{ID: c.ID, Team: c.Team, Route: c.Route, RouteConfig: c.RouteConfig, Items: items}
	if err := p.Jobs.Submit(ctx, j); err != nil {
		return nil, err
	}
	return &answer.Answer{Status: statusAccepted, Body: io.NopCloser(strings.NewReader(""))}, nil
}

const statusAccepted = 202

func (p *Pipeline) batch(ctx context.Context, u upstream.Upstream, c *call.Call) (*answer.Answer, error) {
	if err := p.match(c); err != nil {
		return nil, err
	}
	if !slices.Contains(c.RouteConfig.Services(), u.Service) {
		return nil, errOtherService
	}
	if c.RouteConfig.Unmetered {
		return p.Dispatcher.ServeOn(ctx, u, c)
	}
	if err := p.admit(ctx, c); err != nil {
		return nil, err
	}
	return p.Dispatcher.ServeOn(ctx, u, c)
}

// errOtherService refuses the call of an item whose route leads to other services than that of the upstream, since the
// configuration has changed after the upstream was chosen.
var errOtherService = refusal.NewNotRun(503, "other-service", "the route of this item leads to another service now")

// deduplicate runs a call with an idempotency key at most once, if its route is not repeatable.
func (p *Pipeline) deduplicate(ctx context.Context, c *call.Call, next func(context.Context, *call.Call) (*answer.Answer, error)) (*answer.Answer, error) {
	if c.IdempotencyKey == "" || c.RouteConfig.Repeatable || c.Team == "" {
		return next(ctx, c)
	}
	return p.Deduplicator.Serve(ctx, c, next)
}
