package pipeline

import (
	"context"
	"sync"
	"time"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// dispatch sends a call once it has a slot and a permit. A call that finds no permit waits in the lane of its service, as
// long as it can still be answered in its caller's time. A call whose upstreams are all evacuated waits for nothing.
func (p *Pipeline) dispatch(ctx context.Context, c *call.Call, t *tracker) (*answer.Answer, error) {
	if err := p.Lane.Closed(c.RouteConfig.Service); err != nil {
		return nil, err
	}
	p.Queue.SetTimes(c)
	least := time.Duration(0)
	if !p.Lane.Busy(c.RouteConfig.Service) {
		a, err := p.serve(ctx, c, t)
		if !limited(err) {
			return a, err
		}
		least = refusal.Of(err).RetryAfter
	}
	return p.dispatchInOrder(ctx, c, t, least)
}

// dispatchInOrder sends a call behind those of its service that wait for a permit and go before it, after at least the given
// time.
func (p *Pipeline) dispatchInOrder(ctx context.Context, c *call.Call, t *tracker, least time.Duration) (*answer.Answer, error) {
	s := c.RouteConfig.Service
	ticket, ok := p.Lane.Enter(s, c.Rank, c.LatestStart)
	if !ok {
		return nil, p.Lane.Refuse(s, least)
	}
	var once sync.Once
	leave := func(sent bool) { once.Do(func() { p.Lane.Leave(s, ticket, sent) }) }
	defer leave(false)
	c.Sent = func() { leave(true) } // the next call need not wait for the answer
	for {
		if err := p.Lane.Wait(ctx, s, ticket, least); err != nil {
			return nil, err
		}
		a, err := p.serve(ctx, c, t)
		if !limited(err) {
			return a, err
		}
		least = refusal.Of(err).RetryAfter
	}
}

// serve waits for a slot and sends the call. The slot is given back when the call ends, or at once if no permit was found.
func (p *Pipeline) serve(ctx context.Context, c *call.Call, t *tracker) (*answer.Answer, error) {
	l, err := p.Queue.Acquire(ctx, c)
	if err != nil {
		return nil, err
	}
	c.Release = sync.OnceFunc(l)
	n := p.Timer.Now()
	c.Record.Waited = n.Sub(c.Arrived)
	a, err := p.Dispatcher.Serve(ctx, c)
	if limited(err) {
		c.Release()
		return nil, err
	}
	t.onEnd(c.Release)
	if err == nil {
		t.sent, t.first = n, p.Timer.Now()
	}
	return a, err
}

// limited reports whether a call was refused only for lack of a permit.
func limited(err error) bool {
	f := refusal.Of(err)
	return f != nil && f.Code == refusal.CodeUpstreamsLimited && f.Verdict == verdict.NotRun
}
