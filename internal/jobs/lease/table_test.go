package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	maxLength = 5 * time.Second
	drift     = 100 * time.Millisecond
)

var start = time.Unix(1000, 0)

func TestOnlyOneHolderAtATime(t *testing.T) {
	is := is.New(t)
	x := NewTable(maxLength, drift)
	x.StartTerm(3, start)
	n := start.Add(maxLength + drift)
	term, first, err := x.Grant(n, "u", "a", maxLength, false)
	is.NoErr(err)
	is.Equal(term, uint64(3))
	_, _, err = x.Grant(n, "u", "b", maxLength, false)
	is.Equal(err, ErrHeld)
	_, again, err := x.Grant(n.Add(maxLength), "u", "a", maxLength, false) // renewed within the drift allowance
	is.NoErr(err)
	is.Equal(again, first)
	n = n.Add(2*maxLength + drift)
	_, next, err := x.Grant(n, "u", "b", maxLength, false)
	is.NoErr(err)
	is.True(next > first)
	is.True(!x.Release("u", "a"))
	is.True(x.Release("u", "b"))
	is.Equal(x.Holder(n, "u"), "")
	_, _, err = x.Grant(n, "u", "a", maxLength+1, false)
	is.Equal(err, ErrTooLong)
}

// A new leader does not know the leases of the former one, so it must not grant before they have expired.
func TestNewLeaderWaitsOutFormerLeases(t *testing.T) {
	is := is.New(t)
	old := NewTable(maxLength, drift)
	old.StartTerm(1, start)
	n := start.Add(time.Minute)
	_, _, err := old.Grant(n, "u", "a", maxLength, false)
	is.NoErr(err)
	x := NewTable(maxLength, drift)
	x.StartTerm(2, n)
	_, _, err = x.Grant(n.Add(maxLength), "u", "b", maxLength, false)
	is.Equal(err, ErrWaiting)
	is.Equal(old.Holder(n.Add(maxLength), "u"), "a") // the former lease is still valid
	at := n.Add(maxLength + drift)
	is.Equal(old.Holder(at, "u"), "")
	term, _, err := x.Grant(at, "u", "b", maxLength, false)
	is.NoErr(err)
	is.Equal(term, uint64(2))
	x.StartTerm(2, at.Add(time.Hour)) // the same term keeps its leases
	is.Equal(x.Holder(at, "u"), "b")
}

func TestHolderKeepsItsLeaseUnderANewLeader(t *testing.T) {
	is := is.New(t)
	old := NewTable(maxLength, drift)
	old.StartTerm(1, start)
	n := start.Add(time.Minute)
	_, _, err := old.Grant(n, "u", "a", maxLength, false)
	is.NoErr(err)
	x := NewTable(maxLength, drift)
	x.StartTerm(2, n)
	at := n.Add(time.Second)
	_, _, err = x.Grant(at, "u", "b", maxLength, false)
	is.Equal(err, ErrWaiting)
	term, _, err := x.Grant(at, "u", "a", maxLength, true) // the lease of the former leader is still valid
	is.NoErr(err)
	is.Equal(term, uint64(2))
	_, _, err = x.Grant(at, "u", "b", maxLength, false)
	is.Equal(err, ErrHeld)
	_, _, err = x.Grant(at, "v", "b", maxLength, false)
	is.Equal(err, ErrWaiting)
}

// TestNewLeaderNeedNotWaitForKnownHolders guards against leases that are granted twice, or not for seconds, where all hosts have said
// what they hold.
func TestNewLeaderNeedNotWaitForKnownHolders(t *testing.T) {
	is := is.New(t)
	x := NewTable(maxLength, drift)
	x.StartTerm(2, start)
	_, _, err := x.Grant(start, "u", "b", maxLength, false)
	is.Equal(err, ErrWaiting)
	x.Complete(start, 1, nil) // an answer to questions of an earlier term
	is.True(x.Waiting(start))
	x.Complete(start, 2, map[string]string{"v": "a"})
	_, _, err = x.Grant(start, "u", "b", maxLength, false)
	is.NoErr(err)
	_, _, err = x.Grant(start, "v", "b", maxLength, false)
	is.Equal(err, ErrHeld)
	_, _, err = x.Grant(start, "v", "a", maxLength, true)
	is.NoErr(err)
	x.StartTerm(3, start.Add(time.Second))
	is.True(x.Waiting(start.Add(time.Second)))
}
