package pace_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/limits/pace"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// TestBucketKeepsToItsRate checks every span of random demands with waits against rate and depth.
func TestBucketKeepsToItsRate(t *testing.T) {
	const span = 4 * time.Second
	for seed := range uint64(200) {
		is := is.New(t)
		r := rand.New(rand.NewPCG(seed, 1))
		rate := 0.3 + r.Float64()*20
		depth := 2 + r.Float64()*rate
		b := &pace.Bucket{}
		b.SetRate(start, rate, depth)
		var granted []time.Time
		now := start
		for range 500 {
			now = now.Add(time.Duration(r.ExpFloat64() / rate / 2 * float64(time.Second)))
			wait := time.Duration(r.IntN(3)) * 200 * time.Millisecond
			if d, ok := b.Take(now, wait); ok {
				granted = append(granted, now.Add(d))
			}
		}
		slices.SortFunc(granted, time.Time.Compare)
		for i, from := range granted {
			n := 0
			for _, g := range granted[i:] {
				if g.Before(from.Add(span)) {
					n++
				}
			}
			is.True(float64(n) <= rate*span.Seconds()+depth+1)
		}
		used := float64(len(granted)) / (rate * now.Sub(start).Seconds())
		is.True(used > 0.8)
	}
}

func TestWaitsAreInOrder(t *testing.T) {
	is := is.New(t)
	b := &pace.Bucket{}
	b.SetRate(start, 2, 2)
	for i := range 4 {
		d, ok := b.Take(start, 2*time.Second)
		is.True(ok)
		is.Equal(d, time.Duration(i+1)*500*time.Millisecond)
	}
	d, ok := b.Take(start, 2*time.Second)
	is.True(!ok)
	is.Equal(d, 2500*time.Millisecond) // when the next token accrues
	_, ok = b.Take(start.Add(2*time.Second), 0)
	is.True(!ok)
	_, ok = b.Take(start.Add(2500*time.Millisecond), 0)
	is.True(ok)
}

func TestDelayLeavesTokens(t *testing.T) {
	is := is.New(t)
	b := &pace.Bucket{}
	b.SetRate(start, 1, 3)
	now := start.Add(time.Minute)
	is.Equal(b.Delay(now, 2), time.Duration(0))
	is.Equal(b.Delay(now, 3), time.Second)
}

func TestRateChanges(t *testing.T) {
	is := is.New(t)
	b := &pace.Bucket{}
	b.SetRate(start, 10, 10)
	now := start.Add(time.Minute)
	is.Equal(b.Tokens(now), 10.0)
	b.SetRate(now, 0, 2) // an upstream that takes nothing is still asked now and then
	is.Equal(b.Tokens(now), 2.0)
	for range 2 {
		_, ok := b.Take(now, 0)
		is.True(ok)
	}
	d, ok := b.Take(now, 0)
	is.True(!ok)
	is.Equal(d, 5*time.Second)
	b.SetRate(now.Add(time.Second), 100, 100)
	d, ok = b.Take(now.Add(time.Second), 10*time.Millisecond)
	is.True(ok)
	is.Equal(d, 8*time.Millisecond)
}
