package rate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/limits/allowance"
	"siskinrun/internal/limits/audit"
	"siskinrun/internal/limits/grantbalance"
	"siskinrun/internal/limits/grantreply"
	"siskinrun/internal/limits/grantrequest"
	"siskinrun/internal/limits/rate"
)

var start = time.Unix(1000, 0)

func newBucket(term uint64, at time.Time) *rate.Bucket {
	b := rate.NewBucket(term, 1000, 1000, at)
	b.TTL = time.Second
	b.ShortTTL = 250 * time.Millisecond
	return b
}

func newRequest(host string, sequence uint64, units int64, l ...grantbalance.Balance) grantrequest.Request {
	return grantrequest.Request{Host: host, Boot: 1, Sequence: sequence, Term: 1, Need: units, Want: units, Balances: l}
}

// newHost returns the allowance of a host that sent its first request at the given time.
func newHost(sent time.Time) *allowance.Allowance {
	a := &allowance.Allowance{Host: "a", Boot: 1}
	a.NextRequest(sent, 250, 250)
	return a
}

// spendTogether spends, at one instant, what the bucket grants a second host and what the first still holds.
// It returns an error if both together exceed rate and burst.
func spendTogether(b *rate.Bucket, a *allowance.Allowance, at time.Time) error {
	c := &audit.Auditor{}
	c.SetLimits(start, 1000, 1000, 0)
	w := b.Handle(at, newRequest("b", 1, 1000))
	if err := c.Admit(at, w.Units); err != nil {
		return err
	}
	for n := a.Balance(at); n > 0; n-- {
		a.Spend(at, 1)
		if err := c.Admit(at, 1); err != nil {
			return err
		}
	}
	return nil
}

func TestEachFaultExceedsRateAndBurst(t *testing.T) {
	full := start.Add(2 * time.Second)
	for _, c := range []struct {
		name string
		run  func(wrong bool) error
	}{
		{"ttl-from-arrival", func(wrong bool) error {
			b, a := newBucket(1, start), newHost(full)
			w := b.Handle(full, newRequest("a", 1, 250))
			late := 500 * time.Millisecond
			if wrong {
				w.TTL += late
			}
			a.ApplyReply(full.Add(late), w)
			return spendTogether(b, a, full.Add(1300*time.Millisecond))
		}},
		{"return-twice", func(wrong bool) error {
			b, a := newBucket(1, start), newHost(full)
			a.ApplyReply(full, b.Handle(full, newRequest("a", 1, 250)))
			h := grantbalance.Balance{Grant: 1, Left: 250, Returned: 0}
			if wrong {
				h = grantbalance.Balance{Grant: 1, Left: 0, Returned: 250}
			}
			b.Handle(full, newRequest("a", 2, 0, h))
			b.Handle(full, newRequest("a", 2, 0, h))
			return spendTogether(b, a, full)
		}},
		{"forget-outstanding", func(wrong bool) error {
			a := newHost(full)
			a.ApplyReply(full, newBucket(1, start).Handle(full, newRequest("a", 1, 250)))
			b := newBucket(2, start)
			if !wrong {
				b.AddOutstanding("a", 250, rate.ExpiredEverywhere(full, time.Second))
			}
			return spendTogether(b, a, full)
		}},
		{"unfenced-old-owner", func(wrong bool) error {
			a := newHost(full)
			if wrong {
				a.ApplyReply(full, newBucket(1, start).Handle(full, newRequest("a", 1, 250)))
			} else {
				a.Fence(full, 2)
				a.ApplyReply(full, newBucket(1, start).Handle(full, newRequest("a", 1, 250)))
			}
			return spendTogether(newBucket(2, start), a, full)
		}},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.NoErr(c.run(false))
			is.True(c.run(true) != nil)
		})
	}
}

func TestResentAskGetsTheSameGrant(t *testing.T) {
	is := is.New(t)
	b := newBucket(1, start)
	now := start.Add(2 * time.Second)
	first := b.Handle(now, newRequest("a", 1, 100))
	is.Equal(first.Units, int64(100))
	is.Equal(b.Handle(now, newRequest("a", 1, 100)), first)
	is.Equal(b.Handle(now, newRequest("b", 1, 1000)).Units, int64(900))
	is.NoErr(b.Check())
}

func TestReturnedUnitsAreCountedOnce(t *testing.T) {
	is := is.New(t)
	b := newBucket(1, start)
	now := start.Add(2 * time.Second)
	g := b.Handle(now, newRequest("a", 1, 400)).Grant
	later := newRequest("a", 3, 0, grantbalance.Balance{Grant: g, Left: 100, Returned: 200})
	for range 3 {
		b.Handle(now, later)
	}
	// An older request that arrives late changes nothing.
	b.Handle(now, newRequest("a", 2, 0, grantbalance.Balance{Grant: g, Left: 300, Returned: 100}))
	is.NoErr(b.Check())
	is.Equal(b.Handle(now, newRequest("b", 1, 1000)).Units, int64(800))
}

func TestOutstandingUnitsOfEarlierTermsShrinkAsTheirHostSpendsThem(t *testing.T) {
	is := is.New(t)
	b := newBucket(1, start)
	now := start.Add(2 * time.Second)
	b.AddOutstanding("a", 600, now.Add(time.Second))
	is.Equal(b.Handle(now, newRequest("b", 1, 1000)).Units, int64(400))
	q := newRequest("a", 1, 0)
	q.Earlier = 100
	b.Handle(now, q)
	is.NoErr(b.Check())
	now = now.Add(500 * time.Millisecond)
	is.Equal(b.Handle(now, newRequest("c", 1, 1000)).Units, int64(499))
	is.NoErr(b.Check())
}

func TestGrantsOverTheHostShareExpireSooner(t *testing.T) {
	is := is.New(t)
	now := start.Add(2 * time.Second)
	b := newBucket(1, start)
	is.Equal(rate.HostShare(1000), int64(250))
	is.Equal(b.Handle(now, newRequest("a", 1, 250)).TTL, b.TTL)
	is.Equal(b.Handle(now, newRequest("a", 2, 1)).TTL, b.ShortTTL)
	is.Equal(b.Handle(now, newRequest("b", 1, 251)).TTL, b.ShortTTL)
	b.AddOutstanding("c", 200, now.Add(time.Second))
	is.Equal(b.Handle(now, grantrequest.Request{Host: "c", Sequence: 1, Need: 51}).TTL, b.ShortTTL)
}

// Guards against a grant that expires at the owner while the host may still spend it: the host's clock is
// slow and the owner's is fast.
func TestGrantExpiresAtItsHostBeforeItsOwner(t *testing.T) {
	is := is.New(t)
	const ttl = time.Second
	host := ttl.Seconds() / (1 - rate.MaxDriftPPM/1e6)
	owner := rate.ExpiredEverywhere(start, ttl).Sub(start).Seconds() / (1 + rate.MaxDriftPPM/1e6)
	is.True(owner > host)
	b := newBucket(1, start)
	now := start.Add(2 * time.Second)
	b.Handle(now, newRequest("a", 1, 250))
	is.True(b.Prune(now.Add(ttl + ttl*2*rate.MaxDriftPPM/1_000_000)))
	is.True(!b.Prune(rate.ExpiredEverywhere(now, ttl)))
}

func TestChangedLimits(t *testing.T) {
	for _, c := range []struct {
		name        string
		rate, burst int64
		after       time.Duration
		units       int64
	}{
		{"raised burst is not available at once", 1000, 5000, 0, 1000},
		{"raised burst accrues", 1000, 5000, 2 * time.Second, 2999},
		{"lowered burst applies at once", 1000, 10, 0, 10},
		{"zero rate accrues nothing", 0, 5000, time.Minute, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBucket(1, start)
			now := start.Add(2 * time.Second)
			b.SetLimits(now, c.rate, c.burst)
			w := b.Handle(now.Add(c.after), newRequest("a", 1, 100_000))
			is.Equal(w.Units, c.units)
		})
	}
}

func TestRetryAfterIsWhenTheNeedIsMet(t *testing.T) {
	is := is.New(t)
	b := newBucket(1, start)
	now := start.Add(2 * time.Second)
	is.Equal(b.Handle(now, newRequest("a", 1, 1000)).Units, int64(1000))
	end := now.Add(time.Second)
	q := newRequest("a", 2, 300, grantbalance.Balance{Grant: 1})
	q.Least = 300
	w := b.Handle(now, q)
	is.Equal(w.Units, int64(0))
	is.True(w.RetryAfter > 300*time.Millisecond && w.RetryAfter < 302*time.Millisecond)
	q.Sequence = 3
	is.Equal(b.Handle(now.Add(w.RetryAfter), q).Units, int64(300))
	is.True(now.Add(w.RetryAfter).Before(end))
}

func BenchmarkTake(b *testing.B) {
	k := newBucket(1, start)
	now := start
	var w grantreply.Reply
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		w = k.Handle(now, newRequest("a", uint64(i+1), 1, grantbalance.Balance{Grant: w.Grant}))
	}
}
