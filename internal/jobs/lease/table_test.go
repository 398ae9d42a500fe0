package lease

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	longest = 5 * time.Second
	drift   = 100 * time.Millisecond
)

var start = time.Unix(1000, 0)

func TestOnlyOneHolderAtATime(t *testing.T) {
	is := is.New(t)
	x := NewTable(longest, drift)
	x.Lead(3, start)
	n := start.Add(longest + drift)
	term, first, err := x.Grant(n, "u", "a", longest, false)
	is.NoErr(err)
	is.Equal(term, uint64(3))
	_, _, err = x.Grant(n, "u", "b", longest, false)
	is.Equal(err, ErrHeld)
	_, again, err := x.Grant(n.Add(longest), "u", "a", longest, false) // renewed within the drift
	is.NoErr(err)
	is.Equal(again, first)
	n = n.Add(2*longest + drift)
	_, next, err := x.Grant(n, "u", "b", longest, false)
	is.NoErr(err)
	is.True(next > first)
	is.True(!x.Release("u", "a"))
	is.True(x.Release("u", "b"))
	is.Equal(x.Holder(n, "u"), "")
	_, _, err = x.Grant(n, "u", "a", longest+1, false)
	is.Equal(err, ErrTooLong)
}

func TestNewLeaderWaitsOutFormerLeases(t *testing.T) {
	is := is.New(t)
	old := NewTable(longest, drift)
	old.Lead(1, start)
	n := start.Add(time.Minute)
	_, _, err := old.Grant(n, "u", "a", longest, false)
	is.NoErr(err)
	x := NewTable(longest, drift)
	x.Lead(2, n)
	_, _, err = x.Grant(n.Add(longest), "u", "b", longest, false)
	is.Equal(err, ErrWaiting)
	is.Equal(old.Holder(n.Add(longest), "u"), "a") // the former lease still runs
	at := n.Add(longest + drift)
	is.Equal(old.Holder(at, "u"), "")
	term, _, err := x.Grant(at, "u", "b", longest, false)
	is.NoErr(err)
	is.Equal(term, uint64(2))
	x.Lead(2, at.Add(time.Hour)) // the same term keeps its leases
	is.Equal(x.Holder(at, "u"), "b")
}

func TestHolderKeepsItsLeaseUnderANewLeader(t *testing.T) {
	is := is.New(t)
	old := NewTable(longest, drift)
	old.Lead(1, start)
	n := start.Add(time.Minute)
	_, _, err := old.Grant(n, "u", "a", longest, false)
	is.NoErr(err)
	x := NewTable(longest, drift)
	x.Lead(2, n)
	at := n.Add(time.Second)
	_, _, err = x.Grant(at, "u", "b", longest, false)
	is.Equal(err, ErrWaiting)
	term, _, err := x.Grant(at, "u", "a", longest, true) // the lease of the former leader still runs
	is.NoErr(err)
	is.Equal(term, uint64(2))
	_, _, err = x.Grant(at, "u", "b", longest, false)
	is.Equal(err, ErrHeld)
	_, _, err = x.Grant(at, "v", "b", longest, false)
	is.Equal(err, ErrWaiting)
}
