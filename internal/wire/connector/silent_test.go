package connector_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

// TestStreamsOfAnUpstreamThatIsSilentForAMomentGoOn guards against streams that are broken off and run again because others
// reached their upstream before it fell silent.
func TestStreamsOfAnUpstreamThatIsSilentForAMomentGoOn(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9, 4)
	ctx, cancel := context.WithCancel(t.Context())
	g := group.NewGroup(ctx)
	for _, h := range f.hosts {
		_, _, err := f.peers[h.Name].try(t, f.upstreams[0])
		is.NoErr(err)
		g.Go("calls", func(ctx context.Context) error {
			for f.timer.Sleep(ctx, 50*time.Millisecond) == nil {
				if c, _, err := f.peers[h.Name].Connect(ctx, f.upstreams[1]); err == nil {
					_ = c.Close()
				}
			}
			return nil
		})
	}
	is.NoErr(f.timer.Sleep(t.Context(), 500*time.Millisecond))
	for _, p := range f.peers {
		p.setCut("hang", "u0")
	}
	p := f.peers["h0"]
	_, _, err := p.try(t, f.upstreams[0])
	t.Log(err)
	is.NoErr(f.timer.Sleep(t.Context(), 600*time.Millisecond))
	for _, p := range f.peers {
		p.setCut("")
	}
	cancel()
	is.NoErr(g.Wait())
	is.Equal(p.interrupts.Load(), int64(0))
}
