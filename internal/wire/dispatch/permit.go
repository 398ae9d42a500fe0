package dispatch

import (
	"context"
	"time"

	"siskinrun/internal/data/permit"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	// maxPermitAsks is the number of upstreams that a call asks for a permit at once, and again to wait for one.
	maxPermitAsks = 4
	// slotWait is how long a call that has a slot waits for a permit. One that waits longer gives the slot back and waits with
	// the others, where rank and time decide who goes first.
	slotWait = 200 * time.Millisecond
	// recoveryWait is how long a call that has been sent before waits for a permit: as far ahead as permits are promised. After
	// that its caller may find one at another host.
	recoveryWait = time.Second
	// permitTTL is the time after which a permit is not used any more.
	permitTTL = 250 * time.Millisecond
)

// admit picks an upstream that may get the call now, or waits for the permit of one. If that upstream may get no work any more,
// it looks for another one at once.
func (s *delivery) admit(ctx context.Context) (upstream.Upstream, error) {
	var last error
	for range maxPermitAsks {
		u, err := s.admitOnce(ctx)
		if err != nil && last != nil && refusal.Of(err).Code == noUpstream.Code {
			return u, last // no other upstream is left
		}
		if err == nil || refusal.Of(err).Code != refusal.CodeUpstreamEvacuated {
			return u, err
		}
		last = err
	}
	return upstream.Upstream{}, last
}

// admitOnce picks an upstream that may get the call now, or waits for the permit of one.
func (s *delivery) admitOnce(ctx context.Context) (upstream.Upstream, error) {
	for range maxPermitAsks {
		u, ok := s.pick()
		if !ok {
			break
		}
		if p := s.take(ctx, u, 0); p.Granted {
			return u, nil
		}
	}
	return s.awaitPermit(ctx)
}

// awaitPermit waits for the first permit of any upstream, as long as the call may wait.
func (s *delivery) awaitPermit(ctx context.Context) (upstream.Upstream, error) {
	var next time.Duration
	for range maxPermitAsks {
		d := s.dispatcher
		n := d.Timer.Now()
		u, at, ok := d.Picker.Soonest(n, s.demand)
		if !ok {
			return u, noUpstream.WithJitter()
		}
		w := s.patience()
		next = at.Sub(n)
		if next > w {
			break
		}
		wait, err := s.takeWithin(ctx, u, w)
		if err == nil {
			return u, nil
		}
		next = wait
		if ctx.Err() != nil || refusal.Of(err).Code == refusal.CodeUpstreamEvacuated {
			return u, err
		}
	}
	return upstream.Upstream{}, limited(next)
}

// takeWithin takes a permit of an upstream and waits until it holds. If there is none in time, it returns when there may be.
func (s *delivery) takeWithin(ctx context.Context, u upstream.Upstream, w time.Duration) (time.Duration, error) {
	p := s.take(ctx, u, w)
	if !p.Granted {
		return p.Wait, limited(p.Wait)
	}
	if p.Wait <= 0 {
		return 0, nil
	}
	d := s.dispatcher
	at := d.Timer.Now().Add(p.Wait)
	if err := s.sleep(ctx, u, p.Wait); err != nil {
		return 0, err
	}
	s.call.Record.PermitWait += p.Wait
	if d.Timer.Now().Sub(at) > permitTTL {
		return 0, limited(0) // this host stood still: the permit is past
	}
	return 0, nil
}

// sleep waits for the permit of an upstream, unless that may get no work any more or the caller leaves.
func (s *delivery) sleep(ctx context.Context, u upstream.Upstream, w time.Duration) error {
	d := s.dispatcher
	due := make(chan struct{})
	stop := d.Timer.After(w, func(time.Time) { close(due) })
	defer stop()
	for {
		var changed <-chan struct{}
		if d.Gate != nil {
			changed = d.Gate.Changed() // before Open, so that no change is missed
			if !d.Gate.Open(u) {
				return refusal.UpstreamEvacuated.WithJitter()
			}
		}
		select {
		case <-due:
			return nil
		case <-ctx.Done():
			return callerGone
		case <-changed:
		}
	}
}

// take asks for a permit and records the limit that held the call off.
func (s *delivery) take(ctx context.Context, u upstream.Upstream, wait time.Duration) permit.Permit {
	d := s.dispatcher
	p := d.Permits.Take(ctx, u, s.call.Batch, wait)
	if !p.Granted || p.Wait > 0 {
		r := &s.call.Record
		r.HeldOff++
		r.HeldBy = p.Limit
		r.HeldByAge = d.Timer.Now().Sub(p.Limit.Received)
	}
	return p
}

// patience returns how long the call may wait for a permit.
func (s *delivery) patience() time.Duration {
	c := s.call
	latest := c.LatestStart
	if latest.IsZero() {
		latest = c.Deadline
	}
	left := latest.Sub(s.dispatcher.Timer.Now())
	if s.verdict != verdict.NotRun {
		return min(left, recoveryWait)
	}
	return min(left, slotWait)
}

// upstreamRetryAfter is the time in which upstreams that have started or come back announce themselves.
const upstreamRetryAfter = time.Second

// noUpstream refuses a call for which there is no upstream.
var noUpstream = refusal.NewNotRun(503, "no-upstream", "no upstream is available for the call").WithRetryAfter(upstreamRetryAfter)

var callerGone = refusal.NewNotRun(503, "caller-gone", "the caller left while the call waited for a permit")

// limited refuses a call because all upstreams that could run it are at the rate limits that they name.
func limited(next time.Duration) *refusal.Refusal {
	return refusal.UpstreamsLimited.WithRetryAfter(max(next, 0))
}
