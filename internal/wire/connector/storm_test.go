package connector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestLossOfAllUpstreamsIsNoStormOfQuestions guards against a large fleet all of whose hosts ask most of the others again and again
// when the upstreams themselves are lost.
func TestLossOfAllUpstreamsIsNoStormOfQuestions(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 320, 12)
	for _, h := range f.hosts {
		f.peers[h.Name].setCut("refuse")
	}
	for _, h := range f.hosts {
		_, _, _ = f.peers[h.Name].try(t, f.upstreams[0])
	}
	before, at := f.messages.Load(), f.timer.Now()
	is.NoErr(f.timer.Sleep(t.Context(), 10*time.Second))
	perHost := float64(f.messages.Load()-before) / f.timer.Now().Sub(at).Seconds() / float64(len(f.hosts))
	t.Logf("%.1f questions a second and host", perHost)
	is.True(perHost <= 6) // one round a second
}
