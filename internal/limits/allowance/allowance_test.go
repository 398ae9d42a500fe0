package allowance_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/limits/allowance"
	"siskinrun/internal/limits/grantreply"
)

var start = time.Unix(1000, 0)

// refill sends a request at one time and delivers its reply at another.
func refill(a *allowance.Allowance, sent, arrived time.Time, term uint64, units int64) {
	a.NextRequest(sent, 1000, 1)
	a.ApplyReply(arrived, grantreply.Reply{
		Sequence: a.Sequence, Term: term, Grant: a.Sequence, Units: units, TTL: time.Second, Burst: 1000,
	})
}

func TestGrantExpiryCountsFromTheSendingOfTheAsk(t *testing.T) {
	is := is.New(t)
	a := &allowance.Allowance{}
	refill(a, start, start.Add(900*time.Millisecond), 1, 10)
	is.True(a.Spend(start.Add(999*time.Millisecond), 4))
	is.True(!a.Spend(start.Add(time.Second), 1))
	refill(a, start.Add(time.Second), start.Add(2*time.Second), 1, 10)
	is.Equal(a.Balance(start.Add(2*time.Second)), int64(0))
}

func TestSpendingIsAllOrNothing(t *testing.T) {
	is := is.New(t)
	a := &allowance.Allowance{}
	refill(a, start, start, 1, 5)
	refill(a, start, start, 1, 5)
	is.True(!a.Spend(start, 11))
	is.True(a.Spend(start, 7))
	is.Equal(a.Balance(start), int64(3))
}

func TestRepliesCountOnceAndNotAfterAFence(t *testing.T) {
	for _, c := range []struct {
		name  string
		fence uint64
		term  uint64
		times int
		want  int64
	}{
		{"duplicate reply", 0, 1, 2, 10},
		{"reply of an earlier term", 2, 1, 1, 0},
		{"reply for a request before the fence", 2, 2, 1, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := &allowance.Allowance{}
			a.NextRequest(start, 10, 1)
			if c.fence > 0 {
				a.Fence(start, c.fence)
			}
			for range c.times {
				a.ApplyReply(start, grantreply.Reply{Sequence: a.Sequence, Term: c.term, Grant: 1, Units: 10, TTL: time.Second})
			}
			is.New(t).Equal(a.Balance(start), c.want)
		})
	}
}

func TestFencedHostTakesNothingFromAnEarlierOwner(t *testing.T) {
	is := is.New(t)
	a := &allowance.Allowance{}
	refill(a, start, start, 1, 7)
	is.Equal(a.Fence(start, 2), int64(7))
	refill(a, start, start, 1, 10)
	is.Equal(a.Balance(start), int64(7))
	_, due := a.NextRequest(start, 10, 1)
	is.True(!due)
	a.ApplyReply(start, grantreply.Reply{Sequence: a.Sequence, Term: 2, Grant: 1, Units: 5, TTL: time.Second})
	is.Equal(a.Balance(start), int64(12))
	q, ok := a.NextRequest(start, 20, 1)
	is.True(ok)
	is.Equal(q.Earlier, int64(7))
	is.Equal(len(q.Balances), 1)
}

func TestLostAskIsResentWithItsSequence(t *testing.T) {
	is := is.New(t)
	a := &allowance.Allowance{}
	first, ok := a.NextRequest(start, 10, 1)
	is.True(ok)
	_, ok = a.NextRequest(start, 10, 1)
	is.True(!ok)
	is.True(a.MarkLost(first.Sequence))
	again, ok := a.NextRequest(start.Add(100*time.Millisecond), 10, 1)
	is.True(ok)
	is.Equal(again.Sequence, first.Sequence)
	a.MarkLost(first.Sequence)
	later, ok := a.NextRequest(start.Add(time.Second), 10, 1)
	is.True(ok)
	is.True(later.Sequence > first.Sequence)
}

func TestUnusedUnitsAreReturned(t *testing.T) {
	is := is.New(t)
	a := &allowance.Allowance{}
	a.RecordDemand(start, 1)
	refill(a, start, start, 1, 100)
	now := start.Add(100 * time.Millisecond)
	q, ok := a.NextRequest(now, 0, 0)
	is.True(ok)
	is.Equal(len(q.Balances), 1)
	is.Equal(q.Balances[0].Left+q.Balances[0].Returned, int64(100))
	is.True(q.Balances[0].Returned > 80)
	is.Equal(a.Balance(now), q.Balances[0].Left)
}

func TestUnitsArePrefetchedForExpectedDemand(t *testing.T) {
	is := is.New(t)
	a := &allowance.Allowance{}
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		a.RecordDemand(now, 10)
		if q, ok := a.NextRequest(now, 0, 0); ok {
			a.ApplyReply(now, grantreply.Reply{Sequence: q.Sequence, Term: 1, Grant: q.Sequence, Units: q.Want, TTL: 2 * time.Second})
		}
		a.Spend(now, 10)
	}
	is.True(a.Balance(now) >= 130 && a.Balance(now) <= 190)
}

// TestUnitsOfExpiredGrantsStaySpent guards against a unit that is given back from a grant which another request drew on, after the
// grant of the request that gives it back has expired.
func TestUnitsOfExpiredGrantsStaySpent(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := &allowance.Allowance{Team: "kea", Host: "h"}
	grant := func(n uint64, ttl time.Duration) {
		a.RecordDemand(now, 1)
		q, ok := a.NextRequest(now, a.Balance(now)+40, 1)
		is.True(ok)
		a.ApplyReply(now, grantreply.Reply{Sequence: q.Sequence, Term: 1, Grant: n, Units: 40, TTL: ttl, Rate: 100, Burst: 100})
	}
	grant(1, 100*time.Millisecond)
	is.True(a.Spend(now, 40))
	grant(2, 2*time.Second)
	reports := a.Reports()
	is.Equal(a.Return(now, 40, reports-1), int64(0)) // the owner has heard of it
	is.True(a.Spend(now, 10))
	is.Equal(a.Return(now, 10, reports), int64(10))
	grant(3, 300*time.Millisecond)
	reports = a.Reports()
	is.True(a.Spend(now, 50)) // draws on two grants
	now = now.Add(time.Second)
	is.Equal(a.Return(now, 50, reports), int64(0))
}
