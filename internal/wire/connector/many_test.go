package connector_test

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestManyUpstreamsAreReachedAgainWithinASecond guards against a large fleet whose hosts go through others long after their links are
// back.
func TestManyUpstreamsAreReachedAgainWithinASecond(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 9, 1200)
	p := f.peers["h0"]
	p.setCut("refuse")
	for _, u := range f.upstreams {
		_, _, _ = p.try(t, u)
	}
	is.NoErr(f.timer.Sleep(t.Context(), time.Second))
	t.Logf("%d of %d paths lost", len(p.Table.Lost()), len(f.upstreams))
	p.setCut("")
	is.NoErr(f.timer.Sleep(t.Context(), time.Second))
	t.Logf("%d lost", len(p.Table.Lost()))
	is.True(len(p.Table.Lost()) <= len(f.upstreams)/20)
}
