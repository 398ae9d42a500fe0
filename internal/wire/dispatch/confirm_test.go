package dispatch_test

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/permit"
	"siskinrun/internal/data/upstream"
)

// limitedPermits grants the permits of all upstreams but one.
type limitedPermits struct {
	closed string
}

func (p limitedPermits) Take(_ context.Context, u upstream.Upstream, _ bool, _ time.Duration) permit.Permit {
	return permit.Permit{Granted: u.Name != p.closed, Wait: time.Second}
}

// TestEndIsConfirmedByAnUpstreamThatHasAPermit guards against a close between two events that counts as the end of a stream,
// since the first upstream that was picked to be asked for the rest is at its rate limit.
func TestEndIsConfirmedByAnUpstreamThatHasAPermit(t *testing.T) {
	is := is.New(t)
	b := newFixture(t)
	b.dispatcher.PlainStreams = true
	b.picker.upstreams = []upstream.Upstream{
		startScripted(t, "x", script{text: unframedHeaders + events(1, 3)}),
		startScripted(t, "y", script{text: framed(events(4, 5))}),
	}
	a, err := b.dispatcher.Serve(context.Background(), b.streamed(true))
	is.NoErr(err)
	p := make([]byte, len(events(1, 3)))
	_, err = io.ReadFull(a.Body, p)
	is.NoErr(err)
	b.dispatcher.Permits = limitedPermits{closed: "x"}
	got, err := io.ReadAll(a.Body)
	is.NoErr(err)
	is.Equal(string(got), events(4, 5))
}
