package pipeline

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	statusServerError = 500
	statusBadGateway  = 502
	statusUnavailable = 503
)

// tracker records a call exactly once, however it ends.
type tracker struct {
	pipeline *Pipeline
	call     *call.Call
	cancel   context.CancelCauseFunc
	cleanups []func()
	// sent is when the call was sent, and first when its answer began; zero before that.
	sent, first time.Time
	once        sync.Once
}

// onEnd adds a function to run when the call ends.
func (t *tracker) onEnd(f func()) {
	t.cleanups = append(t.cleanups, f)
}

// wrap finishes a refused call at once; otherwise the end of the answer's body finishes it.
func (t *tracker) wrap(ctx context.Context, a *answer.Answer, err error) (*answer.Answer, error) {
	if err != nil {
		f := t.toRefusal(ctx, err)
		f = tellReturn(f, t.call, t.pipeline.Timer.Now())
		if f.Verdict == verdict.NotRun && t.call.GiveBack != nil {
			t.call.GiveBack()
		}
		t.finish(f)
		return nil, f
	}
	r := &t.call.Record
	r.Status = a.Status
	if a.Upstream != "" {
		r.Upstream = a.Upstream
	}
	r.Verdict = verdict.Ran
	r.FirstByte = t.pipeline.Timer.Now().Sub(t.call.Arrived)
	a.Body = &body{tracker: t, ctx: ctx, reader: a.Body}
	return a, nil
}

// toRefusal returns the refusal inside err, or that of a withdrawn key if it cancelled the call.
func (t *tracker) toRefusal(ctx context.Context, err error) *refusal.Refusal {
	f := refusal.Of(err)
	var w *refusal.Refusal
	if ctx.Err() == nil || !errors.As(context.Cause(ctx), &w) {
		return f
	}
	return w.WithVerdict(f.Verdict)
}

// finish releases the resources of the call and records it.
func (t *tracker) finish(f *refusal.Refusal) {
	t.once.Do(func() {
		for _, e := range t.cleanups {
			e()
		}
		t.cancel(nil)
		t.observeAnswer(f)
		r := &t.call.Record
		r.ID = t.call.ID
		r.Batch = t.call.Batch
		r.Resumes = t.call.Resumes
		r.Parts = t.call.Parts
		r.Digest = t.call.Digest
		r.EndedAt = t.pipeline.Timer.Now()
		r.Total = r.EndedAt.Sub(t.call.Arrived)
		if f != nil {
			r.Status = f.Status
			r.Code = f.Code
			r.Message = f.Message
			r.Verdict = f.Verdict
		}
		t.pipeline.Recorder.Record(*r)
	})
}

// observeAnswer records how long the answer took if it came whole. One that says that the upstream failed tells nothing of
// those that callers wait for.
func (t *tracker) observeAnswer(f *refusal.Refusal) {
	if f != nil || t.sent.IsZero() || t.call.Record.Status >= statusServerError {
		return
	}
	t.pipeline.Answers.Observe(t.call.Route, t.first.Sub(t.sent), t.pipeline.Timer.Now().Sub(t.sent))
}

// body finishes the call when the answer has been read to its end or is closed before.
type body struct {
	tracker *tracker
	ctx     context.Context
	reader  io.ReadCloser
}

// Read implements io.Reader.Read.
func (b *body) Read(p []byte) (int, error) {
	n, err := b.reader.Read(p)
	switch {
	case err == io.EOF:
		b.tracker.finish(nil)
	case err != nil:
		f := b.tracker.toRefusal(b.ctx, toBodyRefusal(err))
		b.tracker.finish(f)
		return n, f
	}
	return n, err
}

// Close implements io.Closer.Close.
func (b *body) Close() error {
	err := b.reader.Close()
	b.tracker.finish(refusal.NewMayHaveRun(statusBadGateway, "caller-gone", "the caller did not read the whole answer"))
	return err
}

// toBodyRefusal returns the refusal for an answer that fails after its body has begun.
func toBodyRefusal(err error) error {
	var f *refusal.Refusal
	if errors.As(err, &f) {
		return f
	}
	return refusal.NewMayHaveRun(statusBadGateway, "answer-cut", err.Error())
}
