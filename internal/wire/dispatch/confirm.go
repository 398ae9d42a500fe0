package dispatch

import (
	"cmp"
	"context"
	"time"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	// confirmTime is how long the end of a stream waits for an upstream to go on with it or to say that nothing follows.
	confirmTime = 750 * time.Millisecond
	// confirmPause is the time between two looks for an upstream to ask.
	confirmPause = 50 * time.Millisecond
	// maxConfirmRuns is the number of runs of a call up to which it is sent to confirm its end, if its route names none.
	maxConfirmRuns = 3
)

// errUnconfirmed is the failure of a stream whose end upstreams were asked to confirm, of which the last one broke off or answered
// with something else.
var errUnconfirmed = refusal.NewMayHaveRun(statusBadGateway, "stream-lost", "no upstream confirmed the end of the stream")

// confirm asks an upstream for what follows the given offset, since the answer that ended there did not say that it was whole.
// It ends the current attempt with cause, and returns nil if no upstream can be asked, with an error where the end is not to be
// believed.
func (s *stream) confirm(ctx context.Context, offset int, cause error) (*answer.Answer, error) {
	s.endAttempt(ctx, cause)
	var broken error
	if cause != nil {
		s.told = false
		broken = errUnconfirmed
	}
	for ctx.Err() == nil && s.mayConfirm() {
		a, asked, err := s.ask(ctx, offset)
		if a != nil {
			return a, nil
		}
		if err != nil && refusal.Of(err).Verdict != verdict.NotRun {
			broken = errUnconfirmed
		}
		if !asked {
			break
		}
	}
	if !s.told && s.barred() {
		broken = errUnconfirmed
	}
	return nil, broken
}

// mayConfirm reports whether the call may be sent once more to confirm its end.
func (s *stream) mayConfirm() bool {
	if !s.resumable() || s.barred() {
		return false
	}
	return len(s.refused) < maxUnreachable && s.runs() < cmp.Or(s.call.RouteConfig.MaxAttempts, maxConfirmRuns)
}

// resumable reports whether an upstream may go on with the stream.
func (s *stream) resumable() bool {
	return s.call.RouteConfig.Repeatable && s.call.Start.Known()
}

// barred reports whether this host refuses to send a resumable call once more.
func (s *stream) barred() bool {
	d, c := s.dispatcher, s.call
	return s.resumable() && (!d.Timer.Now().Before(c.Deadline) || d.Guard.Blocks(c) || lostTooOften(c))
}

// ask makes one attempt, on any upstream that may get the call now and is none of those in refused, and returns the stream with
// which it answers. It reports whether there was such an upstream; the error is that of the attempt.
func (s *stream) ask(ctx context.Context, offset int) (*answer.Answer, bool, error) {
	d, c := s.dispatcher, *s.call
	c.Offset = offset
	q := &delivery{dispatcher: d, call: &c, demand: d.Demand(&c), verdict: verdict.MayHaveRun}
	q.demand.Tried = s.refused
	u, ok := s.pickWithin(ctx, q)
	if !ok && s.lacksUpstream(q) {
		return nil, false, errUnconfirmed
	}
	if !ok {
		return nil, false, nil
	}
	if !q.take(ctx, u, 0).Granted {
		s.refused = append(s.refused, u.Name)
		return nil, true, nil
	}
	ctx = s.await(ctx)
	a, t, err := q.try(ctx, u, nothing)
	if err != nil {
		s.awaited()
		s.refused = append(s.refused, u.Name)
		s.call.Record.Attempts, s.call.Record.NotRun = c.Record.Attempts, c.Record.NotRun
		s.call.Record.Tried, s.call.Record.Lost = c.Record.Tried, c.Record.Lost
		return nil, true, err
	}
	s.switchTo(&c, t)
	if !isStream(&c, a) {
		s.awaited()
		_ = a.Body.Close()
		return nil, true, notResumed
	}
	s.told = true
	return a, true, nil
}

// pickWithin picks an upstream, and waits up to confirmTime for one if all are lost: they announce themselves again.
func (s *stream) pickWithin(ctx context.Context, q *delivery) (upstream.Upstream, bool) {
	m := s.dispatcher.Timer
	for end := m.Now().Add(confirmTime); ; {
		u, ok := q.pick()
		if ok || !s.lacksUpstream(q) || !m.Now().Before(end) || m.Sleep(ctx, confirmPause) != nil {
			return u, ok
		}
	}
}

// lacksUpstream reports whether this host has no upstream that could confirm the end, not even one that is at a limit or refused to.
func (s *stream) lacksUpstream(q *delivery) bool {
	if s.told || len(s.refused) > 0 {
		return false
	}
	_, _, ok := s.dispatcher.Picker.Soonest(s.dispatcher.Timer.Now(), q.demand)
	return !ok
}

// await returns a context for an attempt, which ends after confirmTime unless awaited is called before.
func (s *stream) await(ctx context.Context) context.Context {
	ctx, cancel := context.WithCancel(ctx)
	s.awaiting = ctx
	s.stopAwaiting = s.dispatcher.Timer.After(confirmTime, func(time.Time) { cancel() })
	return ctx
}

// awaited says that the attempt that was to confirm the end, if there is one, has gone on with the stream or ended.
func (s *stream) awaited() {
	if s.awaiting == nil {
		return
	}
	s.stopAwaiting()
	s.awaiting = nil
}
