package dispatch_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/call"
	"siskinrun/internal/data/permit"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// TestRefusalOfThisHostEndsNoStreamAsComplete guards against a broken stream that ends as complete, since this host itself
// refuses the call that was to go on with it.
func TestRefusalOfThisHostEndsNoStreamAsComplete(t *testing.T) {
	for _, c := range []struct {
		name string
		// refuse makes the host refuse what it sends from now on.
		refuse func(b *fixture, q *call.Call)
	}{
		{"no permit in time", func(b *fixture, _ *call.Call) { b.dispatcher.Permits = limitedPermits{closed: "y"} }},
		{"quarantined", func(b *fixture, _ *call.Call) { b.guard.blockAfter, b.guard.lost = 1, []bool{true} }},
		{"suspect", func(b *fixture, _ *call.Call) { b.guard.refuse = true }},
		{"no upstream known", func(b *fixture, _ *call.Call) { b.picker.upstreams = b.picker.upstreams[:1] }},
		{"no upstream reached", func(b *fixture, _ *call.Call) { b.picker.upstreams[1].Address = "127.0.0.1:1" }},
		{"another version", func(b *fixture, _ *call.Call) { b.picker.upstreams[1].Version = "v2" }},
		{"deadline", func(b *fixture, q *call.Call) { q.Deadline = b.timer.Now() }},
		{"no attempt left", func(_ *fixture, q *call.Call) { q.RouteConfig.MaxAttempts = 1 }},
		{"no retry left", func(b *fixture, q *call.Call) {
			for b.dispatcher.RetryBudget.Allow(b.timer.Now(), verdict.MayHaveRun, q.RouteConfig, 1, 1) {
			}
		}},
	} {
		for name, broken := range map[string]script{
			"reset":           {text: streamHead + chunk(events(1, 3)), reset: true},
			"closed":          {text: streamHead + chunk(events(1, 3))},
			"cut in an event": {text: unframedHeaders + events(1, 3) + "id: 4\n"},
		} {
			t.Run(c.name+", "+name, func(t *testing.T) {
				is := is.New(t)
				b := newFixture(t)
				b.dispatcher.PlainStreams = true
				b.picker.upstreams = []upstream.Upstream{startScripted(t, "x", broken), startScripted(t, "y", script{text: framed("")})}
				q := b.streamed(true)
				a, err := b.dispatcher.Serve(t.Context(), q)
				is.NoErr(err)
				p := make([]byte, len(events(1, 3)))
				_, err = io.ReadFull(a.Body, p)
				is.NoErr(err)
				c.refuse(b, q)
				began := b.timer.Now()
				_, err = io.ReadAll(a.Body)
				is.True(err != nil)
				is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
				is.True(b.timer.Now().Sub(began) < 2*time.Second)
			})
		}
	}
}

const streamHead = "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"

// TestEndIsNotBelievedWhereThisHostMayNotAsk guards against a close between two events that counts as the end of a stream, since
// this host itself refuses the call that was to ask for the rest.
func TestEndIsNotBelievedWhereThisHostMayNotAsk(t *testing.T) {
	for _, c := range []struct {
		name   string
		refuse func(b *fixture, q *call.Call)
	}{
		{"quarantined", func(b *fixture, _ *call.Call) { b.guard.blockAfter, b.guard.lost = 1, []bool{true} }},
		{"lost too often", func(_ *fixture, q *call.Call) { q.Parts, q.Record.Lost = []uint64{1}, 2 }},
		{"deadline", func(b *fixture, q *call.Call) { q.Deadline = b.timer.Now() }},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newFixture(t)
			b.dispatcher.PlainStreams = true
			b.picker.upstreams = []upstream.Upstream{
				startScripted(t, "x", script{text: unframedHeaders + events(1, 3)}), startScripted(t, "y", script{text: framed(events(4, 5))}),
			}
			q := b.streamed(true)
			a, err := b.dispatcher.Serve(t.Context(), q)
			is.NoErr(err)
			p := make([]byte, len(events(1, 3)))
			_, err = io.ReadFull(a.Body, p)
			is.NoErr(err)
			c.refuse(b, q)
			_, err = io.ReadAll(a.Body)
			is.True(err != nil)
			is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
		})
	}
}

// TestEndIsNotBelievedWhereNoUpstreamIsLeft guards against a close between two events that counts as the end of a stream, since all
// upstreams are lost to this host at that moment.
func TestEndIsNotBelievedWhereNoUpstreamIsLeft(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.dispatcher.PlainStreams = true
	b.picker.upstreams = []upstream.Upstream{startScripted(t, "x", script{text: unframedHeaders + events(1, 3)})}
	a, err := b.dispatcher.Serve(t.Context(), b.streamed(true))
	is.NoErr(err)
	p := make([]byte, len(events(1, 3)))
	_, err = io.ReadFull(a.Body, p)
	is.NoErr(err)
	b.picker.upstreams = nil
	_, err = io.ReadAll(a.Body)
	is.True(err != nil)
	is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
}

// countingPermits grants every permit, and calls second with the second one.
type countingPermits struct {
	granted int
	second  func()
}

func (p *countingPermits) Take(context.Context, upstream.Upstream, bool, time.Duration) permit.Permit {
	p.granted++
	if p.granted == 2 {
		p.second()
	}
	return permit.Permit{Granted: true}
}

// TestWordOfAnUpstreamIsEnoughWhereThisHostMayNotAskAgain guards against a whole stream that breaks off, since its call is
// quarantined once an upstream has said, without a framing, that nothing follows.
func TestWordOfAnUpstreamIsEnoughWhereThisHostMayNotAskAgain(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.dispatcher.PlainStreams = true
	b.dispatcher.Permits = &countingPermits{second: func() { b.guard.blockAfter, b.guard.lost = 1, []bool{true} }}
	b.picker.upstreams = []upstream.Upstream{startScripted(t, "x", script{text: unframedHeaders + events(1, 3)}, script{text: unframedHeaders})}
	a, err := b.dispatcher.Serve(t.Context(), b.streamed(true))
	is.NoErr(err)
	got, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(string(got), events(1, 3))
}
