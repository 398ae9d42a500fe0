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

	"siskinrun/internal/base/duration"
	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/permit"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/streamstart"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/retry"
	"siskinrun/internal/standin/answertext"
	"siskinrun/internal/standin/engine"
	"siskinrun/internal/standin/faultinjection"
	"siskinrun/internal/standin/service"
	"siskinrun/internal/wire/cancelclient"
	"siskinrun/internal/wire/dispatch"
	"siskinrun/internal/wire/transport"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const tokens = 8

// firstPicker picks the first upstream not yet tried.
type firstPicker struct {
	upstreams []upstream.Upstream
	started   int
	finished  []outcome.Outcome
}

func (f *firstPicker) Pick(_ time.Time, d demand.Demand) (upstream.Upstream, bool) {
	for _, u := range f.upstreams {
		if u.Service == d.Service && (d.Version == "" || u.Version == d.Version) && !slices.Contains(d.Tried, u.Name) {
			return u, true
		}
	}
	return upstream.Upstream{}, false
}

func (f *firstPicker) VersionDuring(u upstream.Upstream, _ time.Time) (string, bool) {
	return u.Version, true
}

func (f *firstPicker) Soonest(now time.Time, d demand.Demand) (upstream.Upstream, time.Time, bool) {
	u, ok := f.Pick(now, d)
	return u, now, ok
}

func (f *firstPicker) Started(string) { f.started++ }

func (f *firstPicker) Finished(_ string, o outcome.Outcome, _ time.Duration, _ time.Time) {
	f.finished = append(f.finished, o)
}

// freePermits grants every permit.
type freePermits struct{}

func (freePermits) Take(context.Context, upstream.Upstream, bool, time.Duration) permit.Permit {
	return permit.Permit{Granted: true}
}

// nopObserver is an observer that does nothing.
type nopObserver struct{}

func (nopObserver) Begin(string, *call.Call)                {}
func (nopObserver) First(string, *call.Call, time.Duration) {}
func (nopObserver) Gap(string, *call.Call, time.Duration)   {}
func (nopObserver) End(string, *call.Call)                  {}

// nopStreams remembers nothing.
type nopStreams struct{}

func (nopStreams) Record(string, streamstart.Start) {}

// recordingGuard records what it is told, and blocks once it has been told of a number of losses.
type recordingGuard struct {
	blockAfter int
	// refuse refuses each trial, refuseAfter all after the first ones.
	refuse      bool
	refuseAfter int
	tried       int
	over        int
	lost        []bool
	sent        []time.Time
	began       int
}

func (g *recordingGuard) Blocks(c *call.Call) bool {
	return !c.Batch && g.blockAfter > 0 && len(g.lost) >= g.blockAfter
}

func (g *recordingGuard) Try(_ context.Context, c *call.Call) (func(), error) {
	if g.refuse && !c.Batch || g.refuseAfter > 0 && g.tried >= g.refuseAfter {
		return nil, refusal.SuspectRequest
	}
	g.tried++
	return func() { g.over++ }, nil
}

func (g *recordingGuard) Began(*call.Call) { g.began++ }

func (g *recordingGuard) Lost(_ upstream.Upstream, c *call.Call, sent time.Time, answering bool) {
	g.lost = append(g.lost, answering)
	g.sent = append(g.sent, sent)
}

// fixture is a dispatcher with two engines and two services as its upstreams.
type fixture struct {
	dispatcher *dispatch.Dispatcher
	picker     *firstPicker
	guard      *recordingGuard
	engines    []*engine.Engine
	services   []*service.Service
	timer      *timer.Service
}

func listen(t *testing.T) net.Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(t).NoErr(err)
	return l
}

func newFixture(t *testing.T) *fixture {
	t.Helper()
	b := &fixture{picker: &firstPicker{}, guard: &recordingGuard{}, timer: timer.NewService()}
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	g.Go("timer", b.timer.Run)
	for _, n := range []string{"a", "b"} {
		e := &engine.Engine{
			Upstream: upstream.Upstream{Name: "engine-" + n, Kind: upstream.Engine, Service: "llm", Slots: 4},
			Listener: listen(t),
			Timer:    b.timer,
			Step:     time.Millisecond,
			Faults:   faultinjection.NewInjector(),
		}
		s := &service.Service{
			Upstream: upstream.Upstream{Name: "service-" + n, Kind: upstream.Service, Service: "desk", Slots: 4},
			Listener: listen(t),
			Timer:    b.timer,
			Faults:   faultinjection.NewInjector(),
		}
		b.engines = append(b.engines, e)
		b.services = append(b.services, s)
		for _, u := range []upstream.Upstream{e.Upstream, s.Upstream} {
			u.Version = upstream.Unversioned
			u.Address = e.Listener.Addr().String()
			if u.Kind == upstream.Service {
				u.Address = s.Listener.Addr().String()
			}
			b.picker.upstreams = append(b.picker.upstreams, u)
		}
		g.Go("engine", e.Run)
		g.Go("service", s.Run)
	}
	x := &transport.Transport{Timer: b.timer, IdleTimeout: time.Second, BodyReadTimeout: 300 * time.Millisecond}
	b.dispatcher = &dispatch.Dispatcher{
		Picker:      b.picker,
		Permits:     freePermits{},
		RetryBudget: retry.NewBudget(),
		Transport:   x,
		Observer:    nopObserver{},
		Streams:     nopStreams{},
		Guard:       b.guard,
		Canceller:   &cancelclient.Client{Transport: x, Group: g, Timer: b.timer},
		Timer:       b.timer,
	}
	t.Cleanup(func() {
		x.Close()
		cancel()
		_ = g.Wait()
	})
	return b
}

func (b *fixture) completion(stream bool) *call.Call {
	n := b.timer.Now()
	q := `{"model":"m","prompt":"p","max_tokens":8}`
	if stream {
		q = `{"model":"m","prompt":"p","max_tokens":8,"stream":true}`
	}
	return &call.Call{
		ID: "c1", Method: "POST", Path: "/v1/completions", Body: []byte(q), Stream: stream, MaxTokens: tokens,
		RouteConfig: route.Route{Service: "llm", Model: "m", Repeatable: true, Timeout: duration.Duration(5 * time.Second)},
		Arrived:     n, Deadline: n.Add(5 * time.Second),
	}
}

func (b *fixture) plain(repeatable bool) *call.Call {
	n := b.timer.Now()
	return &call.Call{
		ID: "c2", Method: "POST", Path: "/desk/quote", Body: []byte("x"),
		RouteConfig: route.Route{Service: "desk", Prefix: "/desk", Repeatable: repeatable},
		Arrived:     n, Deadline: n.Add(5 * time.Second),
	}
}

// streamedText returns the text of a streamed answer, and fails unless the stream has exactly one end marker.
func streamedText(t *testing.T, body io.Reader) string {
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

func TestStreamsAreCompleteDespiteFaults(t *testing.T) {
	for _, k := range []string{"", faultinjection.Die, faultinjection.Silent, faultinjection.Short} {
		t.Run("fault "+k, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t)
			if k != "" {
				is.NoErr(b.engines[0].Faults.Set(k, 1))
			}
			c := b.completion(true)
			a, err := b.dispatcher.Serve(context.Background(), c)
			is.NoErr(err)
			is.Equal(streamedText(t, a.Body), answertext.Answer("m", "p", tokens))
			is.Equal(c.Record.Events, tokens+1)
			is.Equal(c.Record.Attempts > 1, k != "")
		})
	}
}

func TestStreamResumesOnAnotherUpstream(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	is.NoErr(b.engines[0].Faults.Set(faultinjection.Die, 3))
	c := b.completion(true)
	a, err := b.dispatcher.Serve(context.Background(), c)
	is.NoErr(err)
	_ = b.engines[0].Listener.Close()
	is.Equal(streamedText(t, a.Body), answertext.Answer("m", "p", tokens))
	is.Equal(c.Record.Upstream, "engine-b")
}

func TestMismatchedAndLostAnswers(t *testing.T) {
	for _, c := range []struct {
		name, fault string
		repeatable  bool
		runs        int
	}{
		{"mismatched, repeatable", faultinjection.Crossed, true, 2},
		{"mismatched, not repeatable", faultinjection.Crossed, false, 1},
		{"lost, repeatable", faultinjection.Die, true, 2},
		{"lost, not repeatable", faultinjection.Die, false, 1},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t)
			is.NoErr(b.services[0].Faults.Set(c.fault, 1))
			a, err := b.dispatcher.Serve(context.Background(), b.plain(c.repeatable))
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
	b := newFixture(t)
	for i := range b.picker.upstreams {
		b.picker.upstreams[i].Address = "127.0.0.1:1"
	}
	_, err := b.dispatcher.Serve(context.Background(), b.plain(false))
	f := refusal.Of(err)
	is.Equal(f.Verdict, verdict.NotRun)
	is.True(f.RetryAfter > 0)
}

func TestCancelledCallIsCancelledAtTheEngine(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	ctx, cancel := context.WithCancel(context.Background())
	a, err := b.dispatcher.Serve(ctx, b.completion(true))
	is.NoErr(err)
	cancel()
	_, err = io.ReadAll(a.Body)
	is.True(err != nil)
	is.Equal(b.picker.finished[len(b.picker.finished)-1], outcome.Cancelled)
	for !b.engines[0].Cancelled("c1") {
		is.NoErr(b.timer.Sleep(t.Context(), time.Millisecond))
	}
}

// An upstream may close an idle connection just as a call is sent on it; a call that may not be repeated must not be
// lost that way.
func TestNonRepeatableCallUsesANewConnection(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	for range 3 {
		a, err := b.dispatcher.Serve(context.Background(), b.plain(true))
		is.NoErr(err)
		_, err = io.Copy(io.Discard, a.Body)
		is.NoErr(err)
	}
	_ = b.services[0].Listener.Close()
	_, err := b.dispatcher.Serve(context.Background(), b.plain(false))
	is.NoErr(err)
	is.Equal(b.services[1].Runs()["c2"], 1)
}

// A call whose first attempt may have run must not be reported as not run because its last attempt was not sent.
func TestVerdictOfLostAttemptOutlivesLaterNotRunAttempt(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	is.NoErr(b.services[0].Faults.Set(faultinjection.Die, 1))
	for i, u := range b.picker.upstreams {
		if u.Name == "service-b" {
			b.picker.upstreams[i].Address = "127.0.0.1:1"
		}
	}
	_, err := b.dispatcher.Serve(context.Background(), b.plain(true))
	f := refusal.Of(err)
	is.Equal(f.Verdict, verdict.MayHaveRun)
	is.Equal(f.Status, 502)
}

// TestCallIsNotSentAgainAfterItsDeadline guards against an attempt that cannot be answered and hides what became of the first.
func TestCallIsNotSentAgainAfterItsDeadline(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.picker.upstreams = []upstream.Upstream{
		startScripted(t, "x", script{text: "HTTP/1.1 200 OK\r\nX-A: a\r\n", keep: true}),
		startScripted(t, "y", script{text: "HTTP/1.1 200 OK\r\nX-A: a\r\n", keep: true}),
	}
	c := b.plain(true)
	c.Deadline = c.Arrived.Add(200 * time.Millisecond)
	_, err := b.dispatcher.Serve(t.Context(), c)
	f := refusal.Of(err)
	is.Equal(f.Code, "upstream-timeout")
	is.Equal(f.Status, 504)
	is.Equal(f.Verdict, verdict.MayHaveRun)
	is.Equal(c.Record.Attempts, 1)
}
