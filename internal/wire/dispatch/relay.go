package dispatch

import (
	"cmp"
	"context"
	"time"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/streamstart"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/wire/relay"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	methodHead = "HEAD"
	// maxResumes limits the resumptions of one stream.
	maxResumes = 4
	// recordRenewal is the time after which the record of a stream that goes on is renewed, before it expires.
	recordRenewal = 30 * time.Second
)

// stream holds the state of one relayed stream.
type stream struct {
	dispatcher *Dispatcher
	call       *call.Call
	attempt    *attempt
	// origin is the attempt that brought the first event, nil before it.
	origin    *attempt
	resumes   int
	lastEvent time.Time
	// refused lists the upstreams that had no permit, did not run the call or were lost when they were to confirm the end.
	refused []string
	// awaiting is the context of the attempt that is to confirm the end, while it has not gone on with the stream.
	awaiting     context.Context
	stopAwaiting func()
	// told says that an upstream was asked to confirm the end and has brought no event: if its answer ends, nothing follows.
	told bool
	// recordedAt is when other hosts were last told what began the stream.
	recordedAt time.Time
}

// relayStream wraps an event stream so that it resumes after a lost connection.
func (d *Dispatcher) relayStream(ctx context.Context, c *call.Call, a *answer.Answer, t *attempt) *answer.Answer {
	s := &stream{dispatcher: d, call: c, attempt: t, lastEvent: d.Timer.Now()}
	if c.Start.Known() {
		s.recordedAt = s.lastEvent
	}
	r := &relay.Reader{
		Context:      ctx,
		Answer:       a,
		EndsWithBody: d.PlainStreams,
		First:        c.Offset,
		Resume:       s.resume,
		Confirm:      s.confirm,
		Event:        s.event,
		Memory:       c.Memory,
		Done:         func(err error) { s.endAttempt(ctx, err) },
	}
	w := *a
	w.Length = -1
	w.Body = r
	return &w
}

// event counts an event and records the gap since the previous one.
func (s *stream) event(int) {
	s.awaited()
	s.told = false
	n := s.dispatcher.Timer.Now()
	g := n.Sub(s.lastEvent)
	s.lastEvent = n
	c := s.call
	c.Record.Events++
	s.attempt.begin()
	s.attempt.events++
	if c.Record.Events == 1 {
		s.origin = s.attempt
	}
	s.recordStart(n)
	if c.Record.Events > 1 {
		c.Record.MaxEventGap = max(c.Record.MaxEventGap, g)
		s.dispatcher.Observer.Gap(s.attempt.upstream.Name, c, g)
	}
}

// recordStart binds the stream to the software that sent its first event, as soon as its version is certain, and keeps the record
// of it alive.
func (s *stream) recordStart(now time.Time) {
	c := s.call
	if s.attempt == s.origin && !c.Start.Known() {
		u := s.attempt.upstream
		if v, ok := s.dispatcher.Picker.VersionDuring(u, s.attempt.started); ok {
			c.Start = streamstart.Start{Service: u.Service, Version: v}
		}
	}
	if !c.RouteConfig.Repeatable || !c.Start.Known() || now.Sub(s.recordedAt) < recordRenewal {
		return
	}
	s.recordedAt = now
	s.dispatcher.Streams.Record(cmp.Or(c.Resumes, c.ID), c.Start)
}

// resume reopens the stream at an offset, on the same upstream first.
func (s *stream) resume(ctx context.Context, offset int, cause error) (*answer.Answer, error) {
	d := s.dispatcher
	s.resumes++
	if s.resumes > maxResumes {
		return nil, refusal.NewMayHaveRun(502, "stream-lost", "the stream exceeded its limit of resumptions")
	}
	u := s.attempt.upstream
	s.endAttempt(ctx, cause)
	if lostTooOften(s.call) {
		return nil, refusal.NewMayHaveRun(502, codeLost, "upstreams were lost before they began to answer: "+cause.Error())
	}
	if !d.Timer.Now().Before(s.call.Deadline) {
		return nil, refusal.NewMayHaveRun(504, "upstream-timeout", "the stream did not end by the call's deadline")
	}
	c := *s.call
	c.Offset = offset
	a, err := s.resumeOnSame(ctx, u, &c)
	if err == nil {
		return a, nil
	}
	if c.Record.Events > 0 && !c.Start.Known() {
		return nil, err
	}
	n := s.runs()
	if !d.RetryBudget.Allow(d.Timer.Now(), verdict.MayHaveRun, c.RouteConfig, 1, n) {
		return nil, err
	}
	q := &delivery{dispatcher: d, call: &c, demand: d.Demand(&c), verdict: verdict.MayHaveRun, runs: n}
	q.demand.Tried = []string{u.Name}
	a, t, err := q.run(ctx)
	if err != nil {
		return nil, err
	}
	s.switchTo(&c, t)
	if !isStream(&c, a) {
		_ = a.Body.Close()
		return s.resume(ctx, offset, notResumed)
	}
	return a, nil
}

// runs returns the number of attempts that may have run.
func (s *stream) runs() int {
	return s.call.Record.Attempts - s.call.Record.NotRun
}

// endAttempt ends the current attempt and records its end with the call.
func (s *stream) endAttempt(ctx context.Context, err error) {
	if s.awaiting != nil && err != nil {
		ctx = s.awaiting
	}
	s.awaited()
	s.attempt.end(ctx, err)
	r := &s.attempt.call.Record
	s.call.Record.Lost = max(s.call.Record.Lost, r.Lost)
	s.call.Record.Framing = r.Framing
	s.call.Record.AnswerEnd = r.AnswerEnd
	s.call.Record.AnswerProof = r.AnswerProof
	s.call.Record.AnswerNamed = r.AnswerNamed
	s.call.Record.ConnReused = r.ConnReused
	s.call.Record.AnswerEvents = r.AnswerEvents
}

// resumeOnSame resumes the stream on its own upstream, where the call may still run, unless PlainStreams rules it out.
func (s *stream) resumeOnSame(ctx context.Context, u upstream.Upstream, c *call.Call) (*answer.Answer, error) {
	if s.dispatcher.PlainStreams {
		return nil, refusal.NewMayHaveRun(502, "stream-lost", "the upstream interrupted the stream")
	}
	return s.reopen(ctx, u, c)
}

// reopen resumes the stream on the given upstream.
func (s *stream) reopen(ctx context.Context, u upstream.Upstream, c *call.Call) (*answer.Answer, error) {
	q := &delivery{dispatcher: s.dispatcher, call: c, verdict: verdict.MayHaveRun}
	over, err := s.dispatcher.Guard.Try(ctx, c)
	if err != nil {
		return nil, q.crashing(refusal.Of(err))
	}
	if _, err := q.takeWithin(ctx, u, q.patience()); err != nil {
		over()
		return nil, q.notAdmitted(nil, err)
	}
	a, t, err := q.try(ctx, u, over)
	if err != nil {
		return nil, err
	}
	if !isStream(c, a) {
		t.end(ctx, notResumed)
		_ = a.Body.Close()
		return nil, notResumed
	}
	s.switchTo(c, t)
	return a, nil
}

// notResumed is the failure of an attempt that was to go on with a stream and was answered with something else.
var notResumed = refusal.NewMayHaveRun(502, "stream-lost", "the upstream did not resume the stream")

// isStream reports whether an answer to a call is a stream of events.
func isStream(c *call.Call, a *answer.Answer) bool {
	return c.Stream && c.Method != methodHead && a.HoldsEvents()
}

// switchTo makes t the current attempt of the stream.
func (s *stream) switchTo(c *call.Call, t *attempt) {
	s.attempt = t
	s.call.Record.Attempts = c.Record.Attempts
	s.call.Record.Tried = c.Record.Tried
	s.call.Record.Upstream = c.Record.Upstream
	s.call.Record.UpstreamVersion = c.Record.UpstreamVersion
	s.call.Record.FirstEvent = c.Record.FirstEvent
	s.call.Record.Gateway = c.Record.Gateway
	s.call.Record.Lost = c.Record.Lost
	s.call.Record.NotRun = c.Record.NotRun
}
