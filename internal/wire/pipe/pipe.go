package pipe

import (
	"context"
	"io"
	"strings"
	"time"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/inlinejob"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/record"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
)

// identifier finds the team of a credential.
type identifier interface {
	Key(authorization []byte) (key.Key, error)
	Watch(k key.Key, withdrawn func()) (stop func())
}

// admitter spends units of a team's rate.
type admitter interface {
	Admit(ctx context.Context, team string, cost int64) error
}

// queuer waits for a place among the calls in work.
type queuer interface {
	Enter(ctx context.Context, c *call.Call) (leave func(), err error)
}

// dispatcher sends a call to an upstream.
type dispatcher interface {
	Serve(ctx context.Context, c *call.Call) (*answer.Answer, error)
	ServeOn(ctx context.Context, u upstream.Upstream, c *call.Call) (*answer.Answer, error)
}

// versioner tells which version of a model the calls of a route use.
type versioner interface {
	Version(r route.Route) string
}

// keeper runs a call that may not be repeated at most once for each idempotency key.
type keeper interface {
	Serve(ctx context.Context, c *call.Call, next func(context.Context, *call.Call) (*answer.Answer, error)) (*answer.Answer, error)
}

// jobs accepts batch jobs that come with their items.
type jobs interface {
	Submit(ctx context.Context, j inlinejob.Job) error
}

// accountant takes what became of a call.
type accountant interface {
	Finish(r record.Record)
}

// Pipe is the filters that each call passes, in order.
type Pipe struct {
	// Identify finds the team of a credential.
	Identify identifier
	// FinishWithdrawn lets the calls that run when their key is withdrawn come to their end.
	FinishWithdrawn bool
	// View returns the configuration in force.
	View func() *configuration.Configuration
	// Rollout moves routes to new versions once engines hold them.
	Rollout versioner
	// Admit spends the team's rate.
	Admit admitter
	// Queue shares the upstreams between teams.
	Queue queuer
	// Keeper holds the answers of calls with an idempotency key.
	Keeper keeper
	// Jobs accepts the jobs that calls hand in.
	Jobs jobs
	// Dispatch sends the call.
	Dispatch dispatcher
	// Account takes the record of each call.
	Account accountant
	// Timer tells the time.
	Timer *timer.Service
	// TimeoutDefault is the timeout of a route that sets none.
	TimeoutDefault time.Duration

	routes routes
}

// Online serves a caller's call whose credential is given.
func (p *Pipe) Online(ctx context.Context, authorization string, c *call.Call) (*answer.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &tracker{pipe: p, call: c, cancel: cancel}
	a, err := p.online(ctx, authorization, c, t)
	return t.wrap(ctx, a, err)
}

// Batch serves a call of a batch item on an upstream; its team was identified when its job was accepted.
func (p *Pipe) Batch(ctx context.Context, u upstream.Upstream, c *call.Call) (*answer.Answer, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	t := &tracker{pipe: p, call: c, cancel: cancel}
	a, err := p.batch(ctx, u, c)
	return t.wrap(ctx, a, err)
}

func (p *Pipe) online(ctx context.Context, authorization string, c *call.Call, t *tracker) (*answer.Answer, error) {
	if err := p.match(c); err != nil {
		return nil, err
	}
	if err := p.identify(authorization, c, t); err != nil {
		return nil, err
	}
	if c.Rule.Jobs {
		return p.submit(ctx, c)
	}
	if err := p.admit(ctx, c); err != nil {
		return nil, err
	}
	return p.keep(ctx, c, func(ctx context.Context, c *call.Call) (*answer.Answer, error) {
		return p.dispatch(ctx, c, t)
	})
}

// submit hands the items of a call in as a job, whose ID is that of the call.
func (p *Pipe) submit(ctx context.Context, c *call.Call) (*answer.Answer, error) {
	if c.Items == nil || c.Team == "" {
		return nil, refusal.NewNotRun(404, "no-jobs", "jobs cannot be handed in here")
	}
	items, err := c.Items()
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(p.Timer.Now()))
	defer cancel()
	j := inlinejob.Job{ID: c.ID, Team: c.Team, Route: c.Route, Rule: c.Rule, Items: items}
	if err := p.Jobs.Submit(ctx, j); err != nil {
		return nil, err
	}
	return &answer.Answer{Status: statusAccepted, Body: io.NopCloser(strings.NewReader(""))}, nil
}

const statusAccepted = 202

func (p *Pipe) batch(ctx context.Context, u upstream.Upstream, c *call.Call) (*answer.Answer, error) {
	if err := p.match(c); err != nil {
		return nil, err
	}
	if c.Rule.Unmetered {
		return p.Dispatch.ServeOn(ctx, u, c)
	}
	if err := p.admit(ctx, c); err != nil {
		return nil, err
	}
	return p.Dispatch.ServeOn(ctx, u, c)
}

func (p *Pipe) dispatch(ctx context.Context, c *call.Call, t *tracker) (*answer.Answer, error) {
	l, err := p.Queue.Enter(ctx, c)
	if err != nil {
		return nil, err
	}
	t.onEnd(l)
	c.Record.Waited = p.Timer.Now().Sub(c.Arrived)
	return p.Dispatch.Serve(ctx, c)
}

// keep holds the answer of a call with an idempotency key on a route that may not be repeated.
func (p *Pipe) keep(ctx context.Context, c *call.Call, next func(context.Context, *call.Call) (*answer.Answer, error)) (*answer.Answer, error) {
	if c.IdempotencyKey == "" || c.Rule.Repeatable || c.Team == "" {
		return next(ctx, c)
	}
	return p.Keeper.Serve(ctx, c, next)
}
