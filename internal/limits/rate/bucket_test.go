package rate_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/limits/allowance"
	"siskinrun/internal/limits/ask"
	"siskinrun/internal/limits/audit"
	"siskinrun/internal/limits/award"
	"siskinrun/internal/limits/holding"
	"siskinrun/internal/limits/rate"
)

var start = time.Unix(1000, 0)

func newBucket(term uint64, at time.Time) *rate.Bucket {
	b := rate.NewBucket(term, 1000, 1000, at)
	b.Life = time.Second
	b.NeedLife = 250 * time.Millisecond
	return b
}

func need(host string, sequence uint64, units int64, l ...holding.Holding) ask.Ask {
	return ask.Ask{Host: host, Boot: 1, Sequence: sequence, Term: 1, Need: units, Want: units, Holdings: l}
}

// holder returns an allowance that has sent its first ask at a time.
func holder(sent time.Time) *allowance.Allowance {
	a := &allowance.Allowance{Host: "a", Boot: 1}
	a.Ask(sent, 250, 250)
	return a
}

// The second host takes what the bucket has, and the first what it still holds, at one instant.
func together(b *rate.Bucket, a *allowance.Allowance, at time.Time) error {
	c := &audit.Audit{}
	c.Limit(start, 1000, 1000, 0)
	w := b.Take(at, need("b", 1, 1000))
	if err := c.Admit(at, w.Units); err != nil {
		return err
	}
	for n := a.Stock(at); n > 0; n-- {
		a.Spend(at, 1)
		if err := c.Admit(at, 1); err != nil {
			return err
		}
	}
	return nil
}

func TestEachFaultBreaksTheBound(t *testing.T) {
	full := start.Add(2 * time.Second)
	for _, c := range []struct {
		name string
		run  func(wrong bool) error
	}{
		{"life-from-arrival", func(wrong bool) error {
			b, a := newBucket(1, start), holder(full)
			w := b.Take(full, need("a", 1, 250))
			late := 500 * time.Millisecond
			if wrong {
				w.Life += late
			}
			a.Award(full.Add(late), w)
			return together(b, a, full.Add(1300*time.Millisecond))
		}},
		{"hand-back-twice", func(wrong bool) error {
			b, a := newBucket(1, start), holder(full)
			a.Award(full, b.Take(full, need("a", 1, 250)))
			h := holding.Holding{Grant: 1, Left: 250, Returned: 0}
			if wrong {
				h = holding.Holding{Grant: 1, Left: 0, Returned: 250}
			}
			b.Take(full, need("a", 2, 0, h))
			b.Take(full, need("a", 2, 0, h))
			return together(b, a, full)
		}},
		{"forget-outstanding", func(wrong bool) error {
			a := holder(full)
			a.Award(full, newBucket(1, start).Take(full, need("a", 1, 250)))
			b := newBucket(2, start)
			if !wrong {
				b.Adopt("a", 250, rate.Settled(full, time.Second))
			}
			return together(b, a, full)
		}},
		{"unfenced-old-owner", func(wrong bool) error {
			a := holder(full)
			if wrong {
				a.Award(full, newBucket(1, start).Take(full, need("a", 1, 250)))
			} else {
				a.Fence(full, 2)
				a.Award(full, newBucket(1, start).Take(full, need("a", 1, 250)))
			}
			return together(newBucket(2, start), a, full)
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
	first := b.Take(now, need("a", 1, 100))
	is.Equal(first.Units, int64(100))
	is.Equal(b.Take(now, need("a", 1, 100)), first)
	is.Equal(b.Take(now, need("b", 1, 1000)).Units, int64(900))
	is.NoErr(b.Check())
}

func TestHandingBackIsCountedOnce(t *testing.T) {
	is := is.New(t)
	b := newBucket(1, start)
	now := start.Add(2 * time.Second)
	g := b.Take(now, need("a", 1, 400)).Grant
	later := need("a", 3, 0, holding.Holding{Grant: g, Left: 100, Returned: 200})
	for range 3 {
		b.Take(now, later)
	}
	// An older message that arrives late changes nothing.
	b.Take(now, need("a", 2, 0, holding.Holding{Grant: g, Left: 300, Returned: 100}))
	is.NoErr(b.Check())
	is.Equal(b.Take(now, need("b", 1, 1000)).Units, int64(800))
}

func TestAdoptedUnitsShrinkAsTheirHostSpendsThem(t *testing.T) {
	is := is.New(t)
	b := newBucket(1, start)
	now := start.Add(2 * time.Second)
	b.Adopt("a", 600, now.Add(time.Second))
	is.Equal(b.Take(now, need("b", 1, 1000)).Units, int64(400))
	q := need("a", 1, 0)
	q.Earlier = 100
	b.Take(now, q)
	is.NoErr(b.Check())
	now = now.Add(500 * time.Millisecond)
	is.Equal(b.Take(now, need("c", 1, 1000)).Units, int64(499))
	is.NoErr(b.Check())
}

func TestGrantsOverAPartOfTheBurstLiveBriefly(t *testing.T) {
	is := is.New(t)
	now := start.Add(2 * time.Second)
	b := newBucket(1, start)
	is.Equal(rate.Part(1000), int64(250))
	is.Equal(b.Take(now, need("a", 1, 250)).Life, b.Life)
	is.Equal(b.Take(now, need("a", 2, 1)).Life, b.NeedLife)
	is.Equal(b.Take(now, need("b", 1, 251)).Life, b.NeedLife)
	b.Adopt("c", 200, now.Add(time.Second))
	is.Equal(b.Take(now, ask.Ask{Host: "c", Sequence: 1, Need: 51}).Life, b.NeedLife)
}

// A slow clock at the host and a fast one at the owner must not make the owner forget first.
func TestOwnersForgetAGrantAfterItsHost(t *testing.T) {
	is := is.New(t)
	const life = time.Second
	host := life.Seconds() / (1 - rate.Drift/1e6)
	owner := rate.Settled(start, life).Sub(start).Seconds() / (1 + rate.Drift/1e6)
	is.True(owner > host)
	b := newBucket(1, start)
	now := start.Add(2 * time.Second)
	b.Take(now, need("a", 1, 250))
	is.True(b.Prune(now.Add(life + life*2*rate.Drift/1_000_000)))
	is.True(!b.Prune(rate.Settled(now, life)))
}

func TestChangedLimits(t *testing.T) {
	for _, c := range []struct {
		name        string
		rate, burst int64
		after       time.Duration
		units       int64
	}{
		{"more burst is not there at once", 1000, 5000, 0, 1000},
		{"more burst accrues", 1000, 5000, 2 * time.Second, 2999},
		{"less burst cuts at once", 1000, 10, 0, 10},
		{"no rate accrues nothing", 0, 5000, time.Minute, 1000},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			b := newBucket(1, start)
			now := start.Add(2 * time.Second)
			b.Limit(now, c.rate, c.burst)
			w := b.Take(now.Add(c.after), need("a", 1, 100_000))
			is.Equal(w.Units, c.units)
		})
	}
}

func TestRetryAfterIsWhenTheNeedIsMet(t *testing.T) {
	is := is.New(t)
	b := newBucket(1, start)
	now := start.Add(2 * time.Second)
	is.Equal(b.Take(now, need("a", 1, 1000)).Units, int64(1000))
	end := now.Add(time.Second)
	q := need("a", 2, 300, holding.Holding{Grant: 1})
	q.Least = 300
	w := b.Take(now, q)
	is.Equal(w.Units, int64(0))
	is.True(w.RetryAfter > 300*time.Millisecond && w.RetryAfter < 302*time.Millisecond)
	q.Sequence = 3
	is.Equal(b.Take(now.Add(w.RetryAfter), q).Units, int64(300))
	is.True(now.Add(w.RetryAfter).Before(end))
}

func BenchmarkTake(b *testing.B) {
	k := newBucket(1, start)
	now := start
	var w award.Award
	for i := 0; b.Loop(); i++ {
		now = now.Add(time.Millisecond)
		w = k.Take(now, need("a", uint64(i+1), 1, holding.Holding{Grant: w.Grant}))
	}
}
