package control

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// TestProposalsEndWithTheLeadership checks that a leader that steps down fails its waiting proposals.
// No later leader may commit them, so they would wait in vain.
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
