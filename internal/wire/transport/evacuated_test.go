package transport_test

import (
	"bufio"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/evacuation"
	"siskinrun/internal/wire/transport"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// TestCallIsNotSentOnceItsUpstreamIsEvacuated guards against a call that was given an upstream before an evacuation and has
// waited for a permit or a connection since.
func TestCallIsNotSentOnceItsUpstreamIsEvacuated(t *testing.T) {
	is := is.New(t)
	var received atomic.Int64
	a := startUpstream(t, func(_ net.Conn, in *bufio.Reader) {
		if _, err := in.ReadByte(); err == nil {
			received.Add(1)
		}
	})
	m := timer.NewService()
	g := &evacuation.Gate{}
	g.Set(map[string]bool{"d1": true})
	x := &transport.Transport{Timer: m, BodyReadTimeout: time.Second, Gate: g}
	q := &call.Call{ID: "i", Method: "GET", Path: "/", Deadline: m.Now().Add(time.Second)}
	q.Upstream = upstream.Upstream{Name: "u", FailureDomain: "d1"}
	_, err := x.Do(t.Context(), a, q)
	is.Equal(refusal.Of(err).Code, "upstream-evacuated")
	is.Equal(refusal.Of(err).Verdict, verdict.NotRun)
	is.True(refusal.Of(err).RetryAfter > 0)
	time.Sleep(50 * time.Millisecond) // what was written would have arrived
	is.Equal(received.Load(), int64(0))
}
