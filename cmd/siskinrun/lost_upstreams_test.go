package main

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

const (
	// knowTime is the time in which hosts learn that nobody reaches upstreams, and refusalTime the longest that a refusal may
	// take after it.
	knowTime    = 1500 * time.Millisecond
	refusalTime = 200 * time.Millisecond
	lostTime    = 2 * time.Second
	// outageTime is long enough that hosts have asked one another several times in vain.
	outageTime = 5500 * time.Millisecond
	// refusedShare is the share of calls that must be refused within refusalTime.
	refusedShare = 0.95
	// maxDialRate is the most connections a second that a host may try while it reaches no upstream.
	maxDialRate = 150
)

// TestUpstreamsThatNobodyReachesAreRefusedAtOnce guards against calls that are passed around, or wait, though no host reaches
// an upstream.
func TestUpstreamsThatNobodyReachesAreRefusedAtOnce(t *testing.T) {
	f, ctx := newLinkFleet(t)
	is := is.New(t)
	f.cut(hang, f.entries...)
	s := &strandedTraffic{linkFleet: f, name: "lost"}
	sending, stop := context.WithCancel(ctx)
	g := group.NewGroup(sending)
	g.Go("traffic", s.run)
	is.NoErr(f.timer.Sleep(ctx, knowTime))
	known := f.timer.Now()
	before := map[string]int{}
	for _, h := range f.entries {
		before[h] = f.board.dialed(h)
	}
	is.NoErr(f.timer.Sleep(ctx, lostTime))
	end := f.timer.Now()
	for _, h := range f.entries {
		n := f.board.dialed(h) - before[h]
		t.Logf("%s tried %d connections", h, n)
		is.True(float64(n) <= maxDialRate*lostTime.Seconds())
	}
	stop()
	is.NoErr(g.Wait())
	at := s.share(known, end, func(y firstTry) bool { return y.status == http.StatusServiceUnavailable && y.took <= refusalTime })
	all := s.share(known, end, func(firstTry) bool { return true })
	t.Logf("refused at once: %v of %v", at, all)
	is.True(float64(at.sent) >= refusedShare*float64(all.sent))
	is.Equal(all.served, 0)
	s.checkRuns(t)
}

// TestHostsLearnThatAnotherHostReachesUpstreamsAgain guards against hosts that refuse their callers after upstreams were lost
// to all, though one host reaches these again.
func TestHostsLearnThatAnotherHostReachesUpstreamsAgain(t *testing.T) {
	f, ctx := newLinkFleet(t)
	is := is.New(t)
	f.cut(hang, f.entries...)
	f.play(ctx, t, "again", f.entries[1:], func() time.Time {
		is.NoErr(f.timer.Sleep(ctx, outageTime))
		f.restore(f.entries[0])
		back := f.timer.Now()
		is.NoErr(f.timer.Sleep(ctx, 3*contact))
		return back
	})
}
