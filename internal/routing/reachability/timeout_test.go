package reachability_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/routing/reachability"
)

// limit is the time that a connection may take.
const limit = 100 * time.Millisecond

// lateTable returns a table to which the path to u1 was lost at the end of a connection that took its limit, though another host
// has connected to it since, and the time of the loss.
func lateTable(t *testing.T) (*reachability.Table, time.Time) {
	t.Helper()
	is := is.New(t)
	x := newTable()
	at := start.Add(limit)
	lost, certain := x.TimedOut("u1", start, at, limit)
	is.True(lost && !certain)
	is.True(!x.Direct("u1")) // gateways are used at once
	is.Equal(len(x.Uncertain()), 0)
	a := reaches(0)
	a.Proof = true
	x.Answered("a2", a, at)
	is.True(!x.Alone("u1"))
	is.Equal(x.Uncertain(), []string{"u1"})
	return x, at
}

func TestPathIsCertainlyLostOnceASecondConnectionTakesTooLong(t *testing.T) {
	is := is.New(t)
	x, at := lateTable(t)
	lost, certain := x.TimedOut("u1", at, at.Add(limit), limit)
	is.True(!lost && certain)
	is.True(x.Alone("u1"))
	is.Equal(len(x.Uncertain()), 0)
	_, certain = x.TimedOut("u1", at.Add(limit), at.Add(2*limit), limit)
	is.True(!certain) // it was before
	x.Worked("u1", at.Add(2*limit))
	is.True(!x.Alone("u1"))
	x.TimedOut("u1", at.Add(2*limit), at.Add(3*limit), limit)
	is.True(!x.Alone("u1")) // the next loss begins anew
}

func TestPathIsNotCertainlyLostByConnectionsOfOnePause(t *testing.T) {
	is := is.New(t)
	x, at := lateTable(t)
	_, certain := x.TimedOut("u1", at.Add(-limit/2), at.Add(limit/2), limit)
	is.True(!certain)
	is.True(!x.Alone("u1"))
}

func TestPathIsNotCertainlyLostWhileTheHostStandsStill(t *testing.T) {
	is := is.New(t)
	x, at := lateTable(t)
	_, certain := x.TimedOut("u1", at, at.Add(2*limit), limit)
	is.True(!certain)
	is.True(!x.Alone("u1"))
	is.Equal(x.Uncertain(), []string{"u1"})
}

func TestPathIsCertainlyLostWhereAConnectionIsRefused(t *testing.T) {
	is := is.New(t)
	x, at := lateTable(t)
	is.True(!x.Failed("u1", at))
	is.True(x.Alone("u1"))
}

func TestPathIsNotLostByAConnectionThatBeganBeforeTheLastThatCameAbout(t *testing.T) {
	is := is.New(t)
	x := newTable()
	x.Worked("u1", start.Add(limit/2))
	lost, _ := x.TimedOut("u1", start, start.Add(limit), limit)
	is.True(!lost)
	is.True(x.Direct("u1"))
}
