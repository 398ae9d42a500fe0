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
