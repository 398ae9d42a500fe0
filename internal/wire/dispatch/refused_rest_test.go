package dispatch_test

import (
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/call"
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
