package dispatch_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
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
