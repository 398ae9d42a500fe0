package connector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// checkInterval is how often lost paths are tried.
const checkInterval = 300 * time.Millisecond

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
