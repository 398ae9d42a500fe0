package runner

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/heldread"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/completion"
	"siskinrun/internal/data/item"
	"siskinrun/internal/data/itemanswer"
	"siskinrun/internal/data/itemline"
	"siskinrun/internal/data/sse"
	"siskinrun/internal/data/streamstart"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	maxAnswerBytes   = 4 << 20
	minErrorStatus   = 400
	statusBadGateway = 502
	minBackoff       = 100 * time.Millisecond
	maxBackoff       = time.Second
	// maxConfirmations is how often a run is confirmed whose answers do not say that they are whole.
	maxConfirmations = 3
)

// pipeline sends the calls of batch items to upstreams.
type pipeline interface {
	Batch(ctx context.Context, u upstream.Upstream, c *call.Call) (*answer.Answer, error)
}

// router finds the route of a call in the configuration in force.
type router interface {
	RouteOf(c *call.Call) (name string, ok bool)
}

// Runner sends items through the request pipeline.
type Runner struct {
	// Pipeline sends the calls.
	Pipeline pipeline
	// Router finds the routes of items.
	Router router
	// VersionFresh reports whether an upstream has announced its version lately.
	VersionFresh func(upstream string) bool
	// Upstreams returns the upstreams that are known now.
	Upstreams func() []upstream.Upstream
	// Timer provides the clock and sleeps.
	Timer *timer.Service
	// Memory, if set, is the account for what items hold.
	Memory memory
	// Silence is the longest time between two events of a streamed answer, zero for no limit.
	Silence time.Duration
}

// Run sends an item to the named upstream. It goes on with the text so far if the upstream has the software that made it,
// and begins anew otherwise: an answer that is no stream does not take the place of that text. Its error is a refusal whose verdict
// tells whether the item may have run.
func (r *Runner) Run(ctx context.Context, name string, i item.Item) (itemanswer.Answer, error) {
	u, ok := r.upstream(name)
	if !ok {
		return itemanswer.Answer{}, refusal.NewNotRun(503, "no-upstream", "the upstream has left the fleet")
	}
	l := itemline.Line{}
	if err := json.Unmarshal(i.Line, &l); err != nil {
		return itemanswer.Answer{}, refusal.NewNotRun(400, "bad-item", err.Error())
	}
	s := streamstart.Start{Service: u.Service, Version: u.Version}
	if !r.VersionFresh(name) {
		s = streamstart.Start{}
	}
	if !s.Known() || s != i.Start {
		i.NextEvent, i.Text, i.Start = 0, nil, s
	}
	h := &hold{memory: r.Memory}
	defer h.end()
	o, ok := newOutput(i, h)
	if !ok {
		r.backOff(ctx, errNoRoom)
		return itemanswer.Answer{}, errNoRoom
	}
	c := r.call(i, l)
	c.Memory = h
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	a, err := r.Pipeline.Batch(ctx, u, c)
	if err != nil {
		r.backOff(ctx, err)
		return itemanswer.Answer{}, err
	}
	defer func() { _ = a.Body.Close() }()
	if i.NextEvent > 0 && a.Status < minErrorStatus && !a.HoldsEvents() {
		return itemanswer.Answer{}, refusal.NewMayHaveRun(statusBadGateway, "answer-cut", errNoStream.Error())
	}
	if l.Inline && a.EventStream() && a.Status < minErrorStatus {
		return r.collectStream(ctx, name, i, l, a, o, cancel)
	}
	return readWhole(a, h)
}

// readWhole reads an answer that is no stream.
func readWhole(a *answer.Answer, h *hold) (itemanswer.Answer, error) {
	m := heldread.Reader{Memory: h, Most: maxAnswerBytes + 1}
	b, whole, err := m.Read(a.Body, a.Length)
	switch {
	case err != nil:
		return itemanswer.Answer{}, refusal.NewMayHaveRun(statusBadGateway, "answer-cut", err.Error())
	case len(b) > maxAnswerBytes:
		return itemanswer.Answer{Status: statusBadGateway, Body: []byte(`{"error":{"code":"answer-too-long"}}`)}, nil
	case !whole:
		return itemanswer.Answer{}, refusal.NewMayHaveRun(statusBadGateway, codeNoMemory, errNoMemory.Error())
	}
	return itemanswer.Answer{Status: a.Status, Body: b}, nil
}

const codeNoMemory = "no-memory"

// errNoRoom refuses an item whose text so far finds no memory on this host.
var errNoRoom = refusal.NewNotRun(503, codeNoMemory, "this host has no memory for the text of the item")

// collectStream collects the output of an inline item, and returns the partial output if the stream is cut. It cancels the
// call of a stream that stalls. What is too long to be held is not kept.
func (r *Runner) collectStream(
	ctx context.Context, name string, i item.Item, l itemline.Line, a *answer.Answer, o *output, cancel func(),
) (itemanswer.Answer, error) {
	whole, err := o.read(a, r.watch(cancel))
	for n := 0; err == nil && !whole && n < maxConfirmations; n++ {
		i.NextEvent = o.next
		whole, err = r.confirm(ctx, name, i, l, o, cancel)
	}
	if errors.IsAny(err, errTooLong, errNoMemory, sse.ErrNoMemory) {
		return itemanswer.Answer{}, refusal.NewMayHaveRun(statusBadGateway, codeNoMemory, err.Error())
	}
	if !whole && err == nil {
		err = errCut
	}
	if !whole {
		return itemanswer.Answer{NextEvent: o.next, Text: o.text, Start: i.Start}, refusal.NewMayHaveRun(502, "answer-cut", err.Error())
	}
	return itemanswer.Answer{Status: a.Status, Body: o.text}, nil
}

// confirm asks the upstream for what follows the output so far, since the answer that ended there did not say that it was
// whole, and adds it. It reports whether the output is whole, for which an answer without a further event is enough.
func (r *Runner) confirm(ctx context.Context, name string, i item.Item, l itemline.Line, o *output, cancel func()) (bool, error) {
	u, ok := r.upstream(name)
	if !ok {
		return false, errCut
	}
	a, err := r.Pipeline.Batch(ctx, u, r.call(i, l))
	if err != nil {
		return false, err
	}
	defer func() { _ = a.Body.Close() }()
	if !a.HoldsEvents() {
		return false, errNoStream
	}
	whole, err := o.read(a, r.watch(cancel))
	return whole || o.events == 0 && err == nil, err
}

// watch returns a function to call for each event of a stream. Once none has come for Silence, stalled is called.
func (r *Runner) watch(stalled func()) (event func(end bool)) {
	stop := func() {}
	event = func(end bool) {
		stop()
		if !end && r.Silence > 0 {
			stop = r.Timer.After(r.Silence, func(time.Time) { stalled() })
		}
	}
	event(false)
	return event
}

// backOff waits after a refusal of an item that was not sent, so that it is not retried at once.
func (r *Runner) backOff(ctx context.Context, err error) {
	f := refusal.Of(err)
	if f.Verdict == verdict.NotRun {
		_ = r.Timer.Sleep(ctx, min(max(f.RetryAfter, minBackoff), maxBackoff))
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
		return r.inlineCall(i, l)
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
		c.MaxTokens = q.MaxTokens
	}
	return c
}

// callID returns an ID that is unique to a run of an item, since an upstream refuses the ID of a cancelled call.
func callID(i item.Item) string {
	s := i.Job + "-" + strconv.Itoa(i.Index) + "-" + strconv.FormatUint(i.Fence, 36)
	if i.Preemptions > 0 {
		s += "-" + strconv.Itoa(i.Preemptions)
	}
	return s
}

// inlineCall builds the call of an item of an inline job, which resumes where its last run ended.
func (r *Runner) inlineCall(i item.Item, l itemline.Line) *call.Call {
	c := &call.Call{
		InlineItem: true,

		ID:      l.CustomID,
		Team:    i.Team,
		Batch:   true,
		Stream:  true,
		Method:  l.Method,
		Host:    l.Host,
		Path:    l.URL,
		Headers: l.Headers,
		Body:    l.Raw,
		Offset:  int(i.NextEvent),
		Parts:   l.Parts,
		Arrived: r.Timer.Now(),
	}
	c.Record.Team = i.Team
	return c
}
