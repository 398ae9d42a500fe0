package promptguard

import (
	"context"
	"sync/atomic"
	"time"
)

const (
	// compareInterval is the time between two comparisons with other hosts, which reach a host that missed the news.
	compareInterval = time.Second
	// firstCompareInterval is the same time on a host that may have missed much: one that has just started, has woken or is
	// cut off.
	firstCompareInterval = 100 * time.Millisecond
	// staleAfter is the age of the last comparison from which on a host may have missed much.
	staleAfter = 2500 * time.Millisecond
	// catchUpWait is how long calls wait on such a host for a comparison, from when the first of them found it so.
	catchUpWait = 300 * time.Millisecond
	// firstCatchUpWait is the same on a host that has started and not yet had any answer.
	firstCatchUpWait = time.Second
	// aloneAfter is the time after its start after which a host that knows no other one counts as alone.
	aloneAfter = 3 * time.Second
	// catchUpPoll is the time between two looks whether it has been answered.
	catchUpPoll = 10 * time.Millisecond
)

// freshness tells how long ago a host compared what it knows with others; its times are in nanoseconds.
type freshness struct {
	compared atomic.Int64
	// stale is when a call found the last comparison too old, zero if it is not.
	stale atomic.Int64
	// started is the time of the start, alone says that there is no other host to compare with.
	started atomic.Int64
	alone   atomic.Bool
}

// look records whether this host knows others.
func (f *freshness) look(now time.Time, others int) {
	n := now.UnixNano()
	f.started.CompareAndSwap(0, n)
	f.alone.Store(others == 0 && n-f.started.Load() >= int64(aloneAfter))
}

// refresh records that another host has answered a comparison that was sent at a time.
func (f *freshness) refresh(sent time.Time) {
	f.compared.Store(max(f.compared.Load(), sent.UnixNano()))
	f.stale.Store(0)
}

// fresh reports whether the last comparison is recent.
func (f *freshness) fresh(now time.Time) bool {
	return f.alone.Load() || now.UnixNano()-f.compared.Load() < int64(staleAfter)
}

// mayWait reports whether a call may still wait for a comparison.
func (f *freshness) mayWait(now time.Time) bool {
	n := now.UnixNano()
	f.stale.CompareAndSwap(0, n)
	w := catchUpWait
	if f.compared.Load() == 0 {
		w = firstCatchUpWait
	}
	return n-f.stale.Load() < int64(w)
}

// pause returns the time until the next comparison.
func (g *Guard) pause() time.Duration {
	if !g.fresh(g.Timer.Now()) {
		return firstCompareInterval
	}
	return compareInterval
}

// catchUp waits a moment for what other hosts know, if this one may have missed much.
func (g *Guard) catchUp(ctx context.Context) {
	for n := g.Timer.Now(); !g.fresh(n) && g.mayWait(n); n = g.Timer.Now() {
		if g.Timer.Sleep(ctx, catchUpPoll) != nil {
			return
		}
	}
}
