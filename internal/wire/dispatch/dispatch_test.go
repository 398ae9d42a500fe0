package dispatch_test

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/span"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/retry"
	"siskinrun/internal/standin/engine"
	"siskinrun/internal/standin/fault"
	"siskinrun/internal/standin/service"
	"siskinrun/internal/standin/text"
	"siskinrun/internal/wire/dispatch"
	siskinengine "siskinrun/internal/wire/engine"
	"siskinrun/internal/wire/exchange"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const tokens = 8

// first is a chooser that takes the first upstream not yet tried.
type first struct {
	upstreams []upstream.Upstream
	started   int
	finished  []outcome.Outcome
}

func (f *first) Pick(_ time.Time, d demand.Demand) (upstream.Upstream, bool) {
	for _, u := range f.upstreams {
		if u.Service == d.Service && !slices.Contains(d.Tried, u.Name) {
			return u, true
		}
	}
	return upstream.Upstream{}, false
}

func (f *first) Started(string) { f.started++ }

func (f *first) Finished(_ string, o outcome.Outcome, _ time.Duration, _ time.Time) {
	f.finished = append(f.finished, o)
}

// deaf is an observer that ignores what it hears.
type deaf struct{}

func (deaf) Begin(string, *call.Call)                {}
func (deaf) First(string, *call.Call, time.Duration) {}
func (deaf) Gap(string, *call.Call, time.Duration)   {}
func (deaf) End(string, *call.Call)                  {}

// bench is two engines and two services with a dispatch before them.
type bench struct {
	dispatch *dispatch.Dispatch
	choose   *first
	engines  []*engine.Engine
	services []*service.Service
	timer    *timer.Service
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	return l
}

func newBench(t *testing.T) *bench {
	t.Helper()
	b := &bench{choose: &first{}, timer: timer.NewService()}
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("timer", b.timer.Run)
	for _, n := range []string{"a", "b"} {
		e := &engine.Engine{
			Upstream: upstream.Upstream{Name: "engine-" + n, Kind: upstream.Engine, Service: "llm", Slots: 4},
			Listener: listen(t),
			Timer:    b.timer,
			Step:     time.Millisecond,
			Fault:    fault.NewFault(),
		}
		s := &service.Service{
			Upstream: upstream.Upstream{Name: "service-" + n, Kind: upstream.Service, Service: "desk", Slots: 4},
			Listener: listen(t),
			Timer:    b.timer,
			Fault:    fault.NewFault(),
		}
		b.engines = append(b.engines, e)
		b.services = append(b.services, s)
		for _, u := range []upstream.Upstream{e.Upstream, s.Upstream} {
			u.Address = e.Listener.Addr().String()
			if u.Kind == upstream.Service {
				u.Address = s.Listener.Addr().String()
			}
			b.choose.upstreams = append(b.choose.upstreams, u)
		}
		g.Go("engine", e.Run)
		g.Go("service", s.Run)
	}
	x := &exchange.Exchange{Timer: b.timer, IdleAge: time.Second, Silence: 300 * time.Millisecond}
	b.dispatch = &dispatch.Dispatch{
		Choose:   b.choose,
		Retry:    retry.NewBudget(),
		Exchange: x,
		Observe:  deaf{},
		Cancel:   &siskinengine.Engine{Exchange: x, Group: g, Timer: b.timer},
		Timer:    b.timer,
	}
	t.Cleanup(func() {
		x.Close()
		cancel()
		_ = g.Wait()
	})
	return b
}

func (b *bench) completion(stream bool) *call.Call {
	n := b.timer.Now()
	q := `{"model":"m","prompt":"p","max_tokens":8}`
	if stream {
		q = `{"model":"m","prompt":"p","max_tokens":8,"stream":true}`
	}
	return &call.Call{
		ID: "c1", Method: "POST", Path: "/v1/completions", Body: []byte(q), Stream: stream, Tokens: tokens,
		Rule:    route.Route{Service: "llm", Model: "m", Repeatable: true, Timeout: span.Span(5 * time.Second)},
		Arrived: n, Deadline: n.Add(5 * time.Second),
	}
}

func (b *bench) plain(repeatable bool) *call.Call {
	n := b.timer.Now()
	return &call.Call{
		ID: "c2", Method: "POST", Path: "/desk/quote", Body: []byte("x"),
		Rule:    route.Route{Service: "desk", Prefix: "/desk", Repeatable: repeatable},
		Arrived: n, Deadline: n.Add(5 * time.Second),
	}
}

// streamed returns the text of a streamed answer, and fails on a repeated or missing event.
func streamed(t *testing.T, body io.Reader) string {
	t.Helper()
	is := is.New(t)
	all, err := io.ReadAll(body)
	is.NoErr(err)
	var out strings.Builder
	done := 0
	for l := range strings.Lines(string(all)) {
		d, ok := strings.CutPrefix(l, "data: ")
		if !ok {
			continue
		}
		if strings.TrimSpace(d) == "[DONE]" {
			done++
			continue
		}
		var e struct {
			Choices []struct {
				Delta struct{ Content string }
			}
		}
		is.NoErr(json.Unmarshal([]byte(d), &e))
		out.WriteString(e.Choices[0].Delta.Content)
	}
	is.Equal(done, 1)
	return out.String()
}

func TestStreamsStayWholeThroughFaults(t *testing.T) {
	for _, k := range []string{"", fault.Die, fault.Silent, fault.Short} {
		t.Run("fault "+k, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			if k != "" {
				is.NoErr(b.engines[0].Fault.Set(k, 1))
			}
			c := b.completion(true)
			a, err := b.dispatch.Serve(context.Background(), c)
			is.NoErr(err)
			is.Equal(streamed(t, a.Body), text.Answer("m", "p", tokens))
			is.Equal(c.Record.Events, tokens+1)
			is.Equal(c.Record.Attempts > 1, k != "")
		})
	}
}

func TestStreamMovesToAnotherUpstreamWhenItsOwnIsGone(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	is.NoErr(b.engines[0].Fault.Set(fault.Die, 3))
	c := b.completion(true)
	a, err := b.dispatch.Serve(context.Background(), c)
	is.NoErr(err)
	_ = b.engines[0].Listener.Close()
	is.Equal(streamed(t, a.Body), text.Answer("m", "p", tokens))
	is.Equal(c.Record.Upstream, "engine-b")
}

func TestCrossedAndDeadAnswers(t *testing.T) {
	for _, c := range []struct {
		name, fault string
		repeatable  bool
		runs        int
	}{
		{"crossed, repeatable", fault.Crossed, true, 2},
		{"crossed, once only", fault.Crossed, false, 1},
		{"died, repeatable", fault.Die, true, 2},
		{"died, once only", fault.Die, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBench(t)
			is.NoErr(b.services[0].Fault.Set(c.fault, 1))
			a, err := b.dispatch.Serve(context.Background(), b.plain(c.repeatable))
			runs := 0
			for _, s := range b.services {
				runs += s.Runs()["c2"]
			}
			is.Equal(runs, c.runs)
			if !c.repeatable {
				is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
				return
			}
			is.NoErr(err)
			r, err := io.ReadAll(a.Body)
			is.NoErr(err)
			is.True(strings.Contains(string(r), `"echo":"x"`))
		})
	}
}

func TestUnreachableUpstreamHasNotRun(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	for i := range b.choose.upstreams {
		b.choose.upstreams[i].Address = "127.0.0.1:1"
	}
	_, err := b.dispatch.Serve(context.Background(), b.plain(false))
	f := refusal.Of(err)
	is.Equal(f.Verdict, verdict.NotRun)
	is.True(f.RetryAfter > 0)
}

func TestCancelledCallEndsAtTheEngine(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	ctx, cancel := context.WithCancel(context.Background())
	a, err := b.dispatch.Serve(ctx, b.completion(true))
	is.NoErr(err)
	cancel()
	_, err = io.ReadAll(a.Body)
	is.True(err != nil)
	is.Equal(b.choose.finished[len(b.choose.finished)-1], outcome.Cancelled)
	for !b.engines[0].Cancelled("c1") {
		is.NoErr(b.timer.Sleep(t.Context(), time.Millisecond))
	}
}

func TestNoIdleConnectionIsUsedForCallsThatMustNotRepeat(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	for range 3 {
		a, err := b.dispatch.Serve(context.Background(), b.plain(true))
		is.NoErr(err)
		_, err = io.Copy(io.Discard, a.Body)
		is.NoErr(err)
	}
	_ = b.services[0].Listener.Close()
	_, err := b.dispatch.Serve(context.Background(), b.plain(false))
	is.NoErr(err)
	is.Equal(b.services[1].Runs()["c2"], 1)
}

func TestLostAttemptIsNotForgottenByALaterOneThatDidNotRun(t *testing.T) {
	is := is.New(t)
	b := newBench(t)
	is.NoErr(b.services[0].Fault.Set(fault.Die, 1))
	for i, u := range b.choose.upstreams {
		if u.Name == "service-b" {
			b.choose.upstreams[i].Address = "127.0.0.1:1"
		}
	}
	_, err := b.dispatch.Serve(context.Background(), b.plain(true))
	f := refusal.Of(err)
	is.Equal(f.Verdict, verdict.MayHaveRun)
	is.Equal(f.Status, 502)
}
