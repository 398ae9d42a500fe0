package control

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// TestProposalsEndWithTheLeadership has a leader lose its place while proposals wait, which no one may commit.
func TestProposalsEndWithTheLeadership(t *testing.T) {
	is := is.New(t)
	d := &driver{waiters: map[uint64]waiter{}}
	w := waiter{term: 1, done: make(chan proposalResult, 1)}
	d.addWaiter(7, w)
	d.failWaiters()
	a := <-w.done
	is.Equal(refusal.Of(a.err).Verdict, verdict.MayHaveRun)
	is.Equal(d.waiterCount(), 0)
}
