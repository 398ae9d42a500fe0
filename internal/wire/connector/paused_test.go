package connector_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

// settleTime is long enough that paths that were lost are asked about, tried again and given up.
const settleTime = 800 * time.Millisecond

// callAtOnce lets a host connect to an upstream several times at once, and returns the first failure.
func (f *fleet) callAtOnce(t *testing.T, p *peer) error {
	g := group.NewGroup(t.Context())
	for range 4 {
		g.Go("call", func(context.Context) error {
			_, _, err := p.try(t, f.upstreams[0])
			return err
		})
	}
	return g.Wait()
}

// reachEach lets each host connect to the first upstream.
func (f *fleet) reachEach(t *testing.T) {
	for _, h := range f.hosts {
		_, _, err := f.peers[h.Name].try(t, f.upstreams[0])
		is.New(t).NoErr(err)
	}
}

// TestOnePauseOfAHostEndsNoStreams guards against sound streams that are broken off and run again since their host stood still
// while it connected, so that its connections failed by their time though the upstream was in reach.
func TestOnePauseOfAHostEndsNoStreams(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9, 4)
	f.reachEach(t)
	p := f.peers["h0"]
	p.setCut("hang")
	cancel := f.timer.After(connectTimeout*9/10, func(time.Time) { p.setCut("") }) // what began before is late
	defer cancel()
	_ = f.callAtOnce(t, p) // refused or not
	is.NoErr(f.timer.Sleep(t.Context(), settleTime))
	is.Equal(p.interrupts.Load(), int64(0))
	is.True(p.Direct(f.upstreams[0].Name))
}

// TestCallsOfOnePauseAreServed guards against calls that are refused for want of a gateway since their path came back while they
// waited for one.
func TestCallsOfOnePauseAreServed(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9, 4)
	f.reachEach(t)
	p := f.peers["h0"]
	for range 5 {
		p.setCut("hang")
		cancel := f.timer.After(connectTimeout*9/10, func(time.Time) { p.setCut("") })
		is.NoErr(f.callAtOnce(t, p))
		cancel()
		is.NoErr(f.timer.Sleep(t.Context(), settleTime))
	}
}

// TestHostThatStandsStillAgainAndAgainEndsNoStreams guards against the same on a host that never gets enough processor time.
func TestHostThatStandsStillAgainAndAgainEndsNoStreams(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9, 4)
	f.reachEach(t)
	p := f.peers["h0"]
	p.setCut("stall")
	_ = f.callAtOnce(t, p) // refused or not
	is.NoErr(f.timer.Sleep(t.Context(), 2*settleTime))
	is.Equal(p.interrupts.Load(), int64(0))
}

// TestLostPathEndsSilentStreams guards against streams that hang on a lost path though another host reaches their upstream.
func TestLostPathEndsSilentStreams(t *testing.T) {
	for _, how := range []string{"hang", "refuse"} {
		t.Run(how, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(t, 9, 4)
			f.reachEach(t)
			p := f.peers["h0"]
			p.setCut(how)
			_ = f.callAtOnce(t, p) // refused or not
			is.NoErr(f.timer.Sleep(t.Context(), settleTime))
			_, ended := p.interrupted.Load(f.upstreams[0].Address)
			is.True(ended)
		})
	}
}
