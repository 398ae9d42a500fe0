package runner

import (
	"context"
	"encoding/json"
	"io"
	"slices"
	"strconv"
	"time"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/completion"
	"siskinrun/internal/data/item"
	"siskinrun/internal/data/itemanswer"
	"siskinrun/internal/data/itemline"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	maxAnswerBytes = 4 << 20
	eventStream    = "text/event-stream"
	statusRefused  = 400
	restLeast      = 100 * time.Millisecond
	restMost       = time.Second
)

// pipe serves calls of batch items.
type pipe interface {
	Batch(ctx context.Context, u upstream.Upstream, c *call.Call) (*answer.Answer, error)
}

// Runner sends items through the pipe.
type Runner struct {
	// Pipe serves the calls.
	Pipe pipe
	// Upstreams returns the upstreams known now.
	Upstreams func() []upstream.Upstream
	// Timer tells the time.
	Timer *timer.Service
}

// Run sends an item to the named upstream; the error is a refusal with a true verdict.
func (r *Runner) Run(ctx context.Context, name string, i item.Item) (itemanswer.Answer, error) {
	u, ok := r.upstream(name)
	if !ok {
		return itemanswer.Answer{}, refusal.NewNotRun(503, "no-upstream", "the upstream has left")
	}
	l := itemline.Line{}
	if err := json.Unmarshal(i.Line, &l); err != nil {
		return itemanswer.Answer{}, refusal.NewNotRun(400, "bad-item", err.Error())
	}
	c := r.call(i, l)
	a, err := r.Pipe.Batch(ctx, u, c)
	if err != nil {
		r.rest(ctx, err)
		return itemanswer.Answer{}, err
	}
	defer func() { _ = a.Body.Close() }()
	if l.Inline && a.ContentType == eventStream && a.Status < statusRefused {
		return r.stream(i, a)
	}
	b, err := io.ReadAll(io.LimitReader(a.Body, maxAnswerBytes+1))
	if err != nil {
		return itemanswer.Answer{}, refusal.NewMayHaveRun(502, "answer-cut", err.Error())
	}
	if len(b) > maxAnswerBytes {
		return itemanswer.Answer{Status: 502, Body: []byte(`{"error":{"code":"answer-too-long"}}`)}, nil
	}
	return itemanswer.Answer{Status: a.Status, Body: b}, nil
}

// stream collects the output of an inline item, and keeps what there is of it when the run ends early.
func (r *Runner) stream(i item.Item, a *answer.Answer) (itemanswer.Answer, error) {
	o := newOutput(i)
	if err := o.read(a.Body); err != nil {
		return itemanswer.Answer{Next: o.next, Text: o.text}, refusal.NewMayHaveRun(502, "answer-cut", err.Error())
	}
	return itemanswer.Answer{Status: a.Status, Body: o.text}, nil
}

// rest waits after a refusal of an item that was not sent, so that it is not tried again at once.
func (r *Runner) rest(ctx context.Context, err error) {
	f := refusal.Of(err)
	if f.Verdict == verdict.NotRun {
		_ = r.Timer.Sleep(ctx, min(max(f.RetryAfter, restLeast), restMost))
	}
}

func (r *Runner) upstream(name string) (upstream.Upstream, bool) {
	l := r.Upstreams()
	n := slices.IndexFunc(l, func(u upstream.Upstream) bool { return u.Name == name && !u.Leaving })
	if n < 0 {
		return upstream.Upstream{}, false
	}
	return l[n], true
}

// call builds the call of an item.
func (r *Runner) call(i item.Item, l itemline.Line) *call.Call {
	if l.Inline {
		return r.inline(i, l)
	}
	c := &call.Call{
		ID:      callID(i),
		Team:    i.Team,
		Batch:   true,
		Method:  l.Method,
		Path:    l.URL,
		Headers: [][2]string{{"Content-Type", "application/json"}},
		Body:    l.Body,
		Arrived: r.Timer.Now(),
	}
	c.Record.Team = i.Team
	q, err := completion.Parse(l.Body)
	if err == nil {
		c.Model = q.Model
		c.Prompt = q.Prompt
		c.Tokens = q.Tokens
	}
	return c
}

// callID names one run of an item; an upstream refuses an ID whose call it was told to cancel.
func callID(i item.Item) string {
	s := i.Job + "-" + strconv.Itoa(i.Index) + "-" + strconv.FormatUint(i.Fence, 36)
	if i.Runs > 0 {
		s += "-" + strconv.Itoa(i.Runs)
	}
	return s
}

// inline builds the call of an item that came with its job, which goes on where its last run ended.
func (r *Runner) inline(i item.Item, l itemline.Line) *call.Call {
	c := &call.Call{
		ID:      l.CustomID,
		Team:    i.Team,
		Batch:   true,
		Stream:  true,
		Method:  l.Method,
		Host:    l.Host,
		Path:    l.URL,
		Headers: l.Headers,
		Body:    l.Raw,
		Offset:  int(i.Next),
		Arrived: r.Timer.Now(),
	}
	c.Record.Team = i.Team
	return c
}
