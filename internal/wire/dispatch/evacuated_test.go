package dispatch_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/permit"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/evacuation"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// evacuatedTransport refuses what is sent to some upstreams, as a transport does whose gate has closed.
type evacuatedTransport struct {
	next interface {
		Do(ctx context.Context, address string, c *call.Call) (*answer.Answer, error)
	}
	upstreams map[string]bool
}

func (e evacuatedTransport) Do(ctx context.Context, address string, c *call.Call) (*answer.Answer, error) {
	if e.upstreams[c.Upstream.Name] {
		return nil, refusal.NewNotRun(503, "upstream-evacuated", "")
	}
	return e.next.Do(ctx, address, c)
}

// noRetries allows no retry.
type noRetries struct{}

func (noRetries) Request(time.Time) {}

func (noRetries) Observe(outcome.Outcome) {}

func (noRetries) Allow(time.Time, verdict.Verdict, route.Route, int, int) bool { return false }

// TestCallOfAnEvacuatedUpstreamGoesElsewhere guards against a call that is refused, also where no retry is left, because its
// upstream was evacuated after it was picked, and against a lost upstream being recorded for it.
func TestCallOfAnEvacuatedUpstreamGoesElsewhere(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	x := evacuatedTransport{next: b.dispatcher.Transport, upstreams: map[string]bool{"service-a": true}}
	b.dispatcher.Transport = x
	b.dispatcher.RetryBudget = noRetries{}
	c := b.plain(false)
	a, err := b.dispatcher.Serve(t.Context(), c)
	is.NoErr(err)
	_, _ = io.Copy(io.Discard, a.Body)
	is.Equal(c.Record.Upstream, "service-b")
	is.Equal(c.Record.Lost, 0)
	x.upstreams["service-b"] = true
	_, err = b.dispatcher.Serve(t.Context(), b.plain(false))
	is.Equal(refusal.Of(err).Status, 503)
	_, err = b.dispatcher.ServeOn(t.Context(), upstream.Upstream{Name: "service-a"}, b.plain(false))
	is.Equal(refusal.Of(err).Code, "upstream-evacuated")
}

// gatedPicker picks only upstreams that may get work.
type gatedPicker struct {
	limitedPicker
	gate *evacuation.Gate
}

func (g gatedPicker) Soonest(now time.Time, d demand.Demand) (upstream.Upstream, time.Time, bool) {
	for {
		u, at, ok := g.limitedPicker.Soonest(now, d)
		if !ok || g.gate.Open(u) {
			return u, at, ok
		}
		d.Tried = append(d.Tried, u.Name)
	}
}

// TestWaitForAPermitEndsWithAnEvacuation guards against a call that waits for the permit of an upstream that is evacuated
// meanwhile, and so comes too late to the others or is refused late.
func TestWaitForAPermitEndsWithAnEvacuation(t *testing.T) {
	for _, c := range []struct {
		name    string
		domains map[string]bool
		code    string
	}{
		{"another upstream is open", map[string]bool{"a": true}, ""},
		{"all are evacuated", map[string]bool{"a": true, "b": true}, "upstream-evacuated"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			const wait = 190 * time.Millisecond // as long as a call with a slot waits
			b, s := newLimitedFixture(t, map[string]permit.Permit{"service-a": {Wait: wait}, "service-b": {Wait: time.Millisecond}})
			g := &evacuation.Gate{}
			g.Set(nil)
			for i := range b.picker.upstreams {
				u := &b.picker.upstreams[i]
				u.FailureDomain = u.Name[len(u.Name)-1:]
			}
			b.dispatcher.Gate = g
			b.dispatcher.Picker = gatedPicker{limitedPicker{b.picker, s}, g}
			b.timer.After(wait/10, func(time.Time) { g.Set(c.domains) })
			q := b.plain(false)
			q.LatestStart = q.Arrived.Add(2 * time.Second)
			a, err := b.dispatcher.Serve(t.Context(), q)
			if c.code != "" {
				is.Equal(refusal.Of(err).Code, c.code)
				is.Equal(refusal.Of(err).Verdict, verdict.NotRun)
				is.True(refusal.Of(err).RetryAfter > 0)
				is.True(b.timer.Now().Sub(q.Arrived) < wait)
				return
			}
			is.NoErr(err)
			_, _ = io.Copy(io.Discard, a.Body)
			is.Equal(q.Record.Upstream, "service-b")
			is.True(q.Record.PermitWait < wait)
		})
	}
}
