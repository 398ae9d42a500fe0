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
	u := &unit{waiters: map[uint64]waiter{}}
	w := waiter{term: 1, done: make(chan answer, 1)}
	u.expect(7, w)
	u.abandon()
	a := <-w.done
	is.Equal(refusal.Of(a.err).Verdict, verdict.MayHaveRun)
	is.Equal(u.waiting(), 0)
}
