package dispatch

import (
	"context"
	"io"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/answerend"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/framing"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	statusBadGateway = 502
	// codeUnreachable is the code of an attempt that sent nothing, usually for lack of a connection.
	codeUnreachable = "upstream-unreachable"
	// codeLost is the code of an attempt whose connection ended before the answer.
	codeLost = "upstream-lost"
	// codePathLost is the code of an attempt whose way to the upstream was lost.
	codePathLost = "path-lost"
)

// attempt is one attempt to run a call on one upstream.
type attempt struct {
	dispatcher *Dispatcher
	upstream   upstream.Upstream
	call       *call.Call
	started    time.Time
	latency    time.Duration
	// framing is that of the answer, and events the number of its events that were passed on.
	framing framing.Framing
	events  int
	// headers says that the headers of the answer have come, begun that some of its body has.
	headers bool
	begun   bool
	// over ends the trial that the attempt may be.
	over func()
	once sync.Once
	// uncount takes the attempt out of the counts of those in flight.
	uncount func(o outcome.Outcome)
}

func (d *Dispatcher) begin(u upstream.Upstream, c *call.Call) *attempt {
	if c.Record.Attempts > 0 {
		c.Record.Tried = append(c.Record.Tried, c.Record.Upstream)
	}
	c.Record.Attempts++
	c.Record.Upstream = u.Name
	c.Record.UpstreamVersion = u.Version
	c.Record.FirstEvent = c.Offset
	c.Record.Gateway = ""
	d.Picker.Started(u.Name)
	d.Observer.Begin(u.Name, c)
	t := &attempt{dispatcher: d, upstream: u, call: c, started: d.Timer.Now()}
	var once sync.Once
	t.uncount = func(o outcome.Outcome) {
		once.Do(func() {
			d.Picker.Finished(u.Name, o, t.latency, d.Timer.Now())
			d.Observer.End(u.Name, c)
		})
	}
	c.Stranded = t.strand
	if c.Sent != nil {
		c.Sent()
	}
	return t
}

// strand takes an attempt that is silent since its path was lost out of all counts, though its caller still waits for it.
func (t *attempt) strand() {
	t.uncount(outcome.PathLost)
	if t.call.Release != nil {
		t.call.Release()
	}
}

// answered records the time to the start of the answer.
func (t *attempt) answered(a *answer.Answer) {
	t.framing = a.Framing
	t.latency = t.dispatcher.Timer.Now().Sub(t.started)
	t.headers = true
	t.dispatcher.Observer.First(t.upstream.Name, t.call, t.latency)
}

// begin records that the answer has begun, which speaks for all that the call shares with others.
func (t *attempt) begin() {
	if t.begun {
		return
	}
	t.begun = true
	t.dispatcher.Guard.Began(t.call)
	t.over()
}

// end reports the outcome of the attempt once, and cancels the call at the upstream if it was given up.
func (t *attempt) end(ctx context.Context, err error) {
	t.once.Do(func() {
		d := t.dispatcher
		o := t.classify(ctx, err)
		t.recordEnd(ctx, err)
		t.uncount(o)
		d.RetryBudget.Observe(o)
		if o == outcome.Broken && !t.begun {
			t.call.Record.Lost++
			t.logLost()
			d.Guard.Lost(t.upstream, t.call, t.started, t.headers)
		}
		t.over()
		if err != nil && refusal.Of(err).Verdict == verdict.NotRun {
			t.call.Record.NotRun++
		}
		if o == outcome.Cancelled {
			d.Canceller.Cancel(t.upstream, t.call.ID)
		}
	})
}

// logLost logs that the upstream was lost before its answer began.
func (t *attempt) logLost() {
	d, c := t.dispatcher, t.call
	d.Log.Warn().
		Str("request-id", c.ID).
		Str("request-digest", strconv.FormatUint(c.Digest, 16)).
		Str("team", c.Team).
		Str("route", c.Route).
		Bool("batch", c.Batch).
		Str("upstream", t.upstream.Name).
		Str("gateway", c.Record.Gateway).
		Dur("sent-before-ms", d.Timer.Now().Sub(t.started)).
		Bool("headers", t.headers).
		Msg("upstream lost unanswered")
}

// recordEnd records how the answer ended, if one has come.
func (t *attempt) recordEnd(ctx context.Context, err error) {
	if !t.headers {
		return
	}
	r := &t.call.Record
	r.Framing = t.framing
	r.AnswerEnd = answerend.Of(ctx, t.framing, err)
	r.AnswerEvents = t.events
}

// classify returns the outcome of the attempt for its upstream. A connection that broke is looked into: a host that has lost
// its links does not blame upstreams or calls for that.
func (t *attempt) classify(ctx context.Context, err error) outcome.Outcome {
	o := classify(ctx, err)
	d := t.dispatcher
	if o != outcome.Broken || d.Paths == nil {
		return o
	}
	if d.Paths.PathLost(ctx, t.upstream, t.call.Record.Gateway) {
		return outcome.PathLost
	}
	return o
}

// classify returns what the error of an attempt says of its upstream.
func classify(ctx context.Context, err error) outcome.Outcome {
	switch {
	case err == nil || err == io.EOF:
		return outcome.Succeeded
	case ctx.Err() != nil:
		return outcome.Cancelled
	case refusal.Of(err).Code == codeUnreachable:
		return outcome.Unreachable
	case refusal.Of(err).Code == codePathLost, refusal.Of(err).Code == refusal.CodeUpstreamEvacuated:
		return outcome.PathLost
	case refusal.Of(err).Code == "upstream-timeout":
		return outcome.TimedOut
	case broken(err):
		return outcome.Broken
	default:
		return outcome.Failed
	}
}

// broken reports whether an attempt failed because its connection ended before the whole answer.
func broken(err error) bool {
	var n interface{ Timeout() bool }
	if errors.As(err, &n) && n.Timeout() {
		return false
	}
	var f *refusal.Refusal
	return !errors.As(err, &f) || f.Code == codeLost
}

// attemptBody ends the attempt when its body ends or is closed.
type attemptBody struct {
	io.Reader
	io.Closer
	attempt *attempt
}

// Read implements io.Reader.Read.
func (w *attemptBody) Read(p []byte) (int, error) {
	n, err := w.Reader.Read(p)
	if n > 0 {
		w.attempt.begin()
	}
	if err != nil {
		w.attempt.end(context.Background(), err)
	}
	return n, err
}

// Close implements io.Closer.Close.
func (w *attemptBody) Close() error {
	w.attempt.end(cancelledContext, context.Canceled)
	return w.Closer.Close()
}

// cancelledContext is a context that is already cancelled.
var cancelledContext = func() context.Context {
	c, stop := context.WithCancel(context.Background())
	stop()
	return c
}()
