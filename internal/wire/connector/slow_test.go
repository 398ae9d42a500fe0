package connector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestSlowConnectionsAskNoOtherHosts guards against a fleet whose sound connections take long, and that multiplies them by asking
// other hosts to try them too.
func TestSlowConnectionsAskNoOtherHosts(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9, 12)
	for _, p := range f.peers {
		p.slow.Store(int64(connectTimeout / 2))
	}
	for _, u := range f.upstreams {
		g, _, err := f.peers["h0"].try(t, u)
		is.NoErr(err)
		is.Equal(g, "")
	}
	is.NoErr(f.timer.Sleep(t.Context(), 200*time.Millisecond))
	dials := int64(0)
	for _, p := range f.peers {
		dials += p.dials.Load()
	}
	t.Logf("%d questions and %d connections for %d that were wanted", f.messages.Load(), dials, len(f.upstreams))
	is.Equal(f.messages.Load(), int64(0))
	is.Equal(dials, int64(len(f.upstreams)))
}
