package connector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestPartlyCutOffHostKeepsTheStreamsOfASilentUpstream guards against streams that are broken off since gateways to another upstream
// are taken to reach theirs, which has just fallen silent.
func TestPartlyCutOffHostKeepsTheStreamsOfASilentUpstream(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9, 4)
	p := f.peers["h0"]
	p.setCut("refuse", "u1")
	for _, u := range f.upstreams {
		_, _, err := p.try(t, u)
		is.NoErr(err)
	}
	is.NoErr(f.timer.Sleep(t.Context(), 1500*time.Millisecond))
	for _, h := range f.hosts[1:] {
		f.peers[h.Name].setCut("hang", "u0")
	}
	p.setCut("hang", "u0", "u1")
	_, _, err := p.try(t, f.upstreams[0])
	t.Log(err)
	is.NoErr(f.timer.Sleep(t.Context(), 600*time.Millisecond))
	_, ended := p.interrupted.Load(f.upstreams[0].Address)
	is.True(!ended)
}
