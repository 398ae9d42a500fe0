package dispatch

import (
	"bytes"
	"context"
	"io"
	"sync"
	"time"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
)

const (
	// settledBytes is the length up to which a body is read before it is passed on.
	settledBytes = 1 << 20
	statusCut    = 502
	// codeUnreachable is the code of an attempt for which no connection came about.
	codeUnreachable = "upstream-unreachable"
)

// attempt is one sending of a call to one upstream.
type attempt struct {
	dispatch *Dispatch
	upstream upstream.Upstream
	call     *call.Call
	began    time.Time
	latency  time.Duration
	once     sync.Once
}

func (d *Dispatch) begin(u upstream.Upstream, c *call.Call) *attempt {
	if c.Record.Attempts > 0 {
		c.Record.Tried = append(c.Record.Tried, c.Record.Upstream)
	}
	c.Record.Attempts++
	c.Record.Upstream = u.Name
	d.Choose.Started(u.Name)
	d.Observe.Begin(u.Name, c)
	return &attempt{dispatch: d, upstream: u, call: c, began: d.Timer.Now()}
}

// first notes that the answer has begun.
func (t *attempt) first() {
	t.latency = t.dispatch.Timer.Now().Sub(t.began)
	t.dispatch.Observe.First(t.upstream.Name, t.call, t.latency)
}

// end notes how the attempt ended.
func (t *attempt) end(ctx context.Context, err error) {
	t.once.Do(func() {
		d := t.dispatch
		o := judge(ctx, err)
		d.Choose.Finished(t.upstream.Name, o, t.latency, d.Timer.Now())
		d.Retry.Observe(o)
		d.Observe.End(t.upstream.Name, t.call)
		if o == outcome.Cancelled {
			d.Cancel.Cancel(t.upstream, t.call.ID)
		}
	})
}

// judge says what the end of an attempt tells about its upstream.
func judge(ctx context.Context, err error) outcome.Outcome {
	switch {
	case err == nil || err == io.EOF:
		return outcome.Succeeded
	case ctx.Err() != nil:
		return outcome.Cancelled
	case refusal.Of(err).Code == codeUnreachable:
		return outcome.Unreachable
	case refusal.Of(err).Code == "upstream-timeout":
		return outcome.TimedOut
	default:
		return outcome.Failed
	}
}

// settle reads a short body before it is passed on, so that a cut one can be sent again.
func (t *attempt) settle(ctx context.Context, a *answer.Answer) error {
	b, err := io.ReadAll(io.LimitReader(a.Body, settledBytes))
	if err != nil {
		t.end(ctx, err)
		_ = a.Body.Close()
		return refusal.NewMayHaveRun(statusCut, "answer-cut", "the upstream's answer was cut: "+err.Error())
	}
	if len(b) < settledBytes {
		t.end(ctx, nil)
		_ = a.Body.Close()
		a.Length = len(b)
		a.Body = io.NopCloser(bytes.NewReader(b))
		return nil
	}
	r := io.MultiReader(bytes.NewReader(b), a.Body)
	a.Body = &whole{Reader: r, Closer: a.Body, attempt: t}
	return nil
}

// whole ends the attempt with the body of an answer that is not a stream of events.
type whole struct {
	io.Reader
	io.Closer
	attempt *attempt
}

// Read implements io.Reader.Read.
func (w *whole) Read(p []byte) (int, error) {
	n, err := w.Reader.Read(p)
	if err != nil {
		w.attempt.end(context.Background(), err)
	}
	return n, err
}

// Close implements io.Closer.Close.
func (w *whole) Close() error {
	w.attempt.end(cancelled, context.Canceled)
	return w.Closer.Close()
}

// cancelled is a context that has ended.
var cancelled = func() context.Context {
	c, stop := context.WithCancel(context.Background())
	stop()
	return c
}()
