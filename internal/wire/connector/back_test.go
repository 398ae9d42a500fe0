package connector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// checkInterval is how often lost paths are tried, and soon a time that is well below it.
	checkInterval = 300 * time.Millisecond
	soon          = checkInterval / 3
)

// TestLostPathIsTriedAtEachCheck guards against checks that come a little early and then leave a lost path for the next one.
func TestLostPathIsTriedAtEachCheck(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 1)
	p := f.peers["h0"]
	p.setCut("refuse")
	_, _, err := p.try(t, f.upstreams[0])
	is.True(err != nil)
	before := p.dials.Load()
	const checks = 12
	is.NoErr(f.timer.Sleep(t.Context(), checks*checkInterval))
	n := p.dials.Load() - before
	t.Logf("%d connections in %d intervals", n, checks)
	is.True(n >= checks-1 && n <= checks+1)
}

// TestHostUsesAPathThatIsBackAtOnce guards against a host that reaches an upstream again and refuses its calls until the next
// check.
func TestHostUsesAPathThatIsBackAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 1)
	p := f.peers["h0"]
	p.unreachable.Store(true)
	for range 5 {
		p.setCut("refuse")
		_, _, err := p.try(t, f.upstreams[0])
		is.True(err != nil)
		is.NoErr(f.timer.Sleep(t.Context(), soon))
		marked := p.marked.Load()
		p.setCut("")
		for end := f.timer.Now().Add(time.Second); !p.Direct("u0") && f.timer.Now().Before(end); {
			is.NoErr(f.timer.Sleep(t.Context(), time.Millisecond))
		}
		is.True(p.Direct("u0"))
		is.NoErr(f.timer.Sleep(t.Context(), soon))
		is.True(p.marked.Load() > marked)
	}
}

// TestPathsThatComeBackOneByOneAreUsedSoon guards against a host that hears of the first paths of another one that are back, and
// asks about the others at its next check only.
func TestPathsThatComeBackOneByOneAreUsedSoon(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 2, 2)
	for _, p := range f.peers {
		p.setCut("refuse")
	}
	for _, p := range f.peers {
		for _, u := range f.upstreams {
			_, _, err := p.try(t, u)
			is.True(err != nil)
		}
	}
	is.NoErr(f.timer.Sleep(t.Context(), 3*time.Second)) // both ask seldom
	p, g := f.peers["h0"], f.peers["h1"]
	g.setCut("refuse", "u1")
	for end := f.timer.Now().Add(time.Second); len(p.Table.Gateways("u0", f.timer.Now())) == 0 && f.timer.Now().Before(end); {
		is.NoErr(f.timer.Sleep(t.Context(), time.Millisecond))
	}
	g.setCut("")
	c, err := g.Dial(t.Context(), f.upstreams[1])
	is.NoErr(err)
	_ = c.Close()
	is.NoErr(f.timer.Sleep(t.Context(), checkInterval/2))
	is.Equal(p.Table.Gateways("u1", f.timer.Now()), []string{"h1"})
}
