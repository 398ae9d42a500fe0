package meter_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/limits/meter"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// mostIn returns the most of some times in any span.
func mostIn(l []time.Time) int {
	slices.SortFunc(l, time.Time.Compare)
	n := 0
	for i, from := range l {
		k := 0
		for _, t := range l[i:] {
			if t.Before(from.Add(span)) {
				k++
			}
		}
		n = max(n, k)
	}
	return n
}

// span and bound are what an upstream bears: in 4 s one and a half times its rate, and 5 requests.
const span = 4 * time.Second

func bound(rate float64) float64 {
	return 1.5*rate*span.Seconds() + 5
}

// TestMeterKeepsToItsRates checks random demand with and without waits in bursts, and that most of the rate is used.
func TestMeterKeepsToItsRates(t *testing.T) {
	for seed := range uint64(200) {
		is := is.New(t)
		r := rand.New(rand.NewPCG(seed, 1))
		rate := 0.1 + r.Float64()*20
		m := &meter.Meter{}
		m.SetRate(start, rate)
		var all []time.Time
		now := start
		for range 800 {
			press := 1.5
			if now.Sub(start)%(6*time.Second) < 2*time.Second {
				press = 8
			}
			now = now.Add(time.Duration(r.ExpFloat64() / rate / press * float64(time.Second)))
			wait := time.Duration(r.IntN(3)) * 200 * time.Millisecond
			if d, ok := m.Take(now, r.IntN(2) == 0, wait); ok {
				all = append(all, now.Add(d))
			}
		}
		is.True(float64(mostIn(all)) <= bound(rate))
		long := float64(len(all)) / now.Sub(start).Seconds()
		is.True(long <= meter.PeakFactor*max(rate, 0.2)+bound(rate)/now.Sub(start).Seconds())
		is.True(long >= 0.8*rate)
	}
}

// TestMeterKeepsToARateThatChanges guards against what was saved up at a higher rate.
func TestMeterKeepsToARateThatChanges(t *testing.T) {
	is := is.New(t)
	m := &meter.Meter{}
	m.SetRate(start, 20)
	now := start.Add(time.Minute)
	m.SetRate(now, 2)
	var all []time.Time
	for i := range 1000 {
		n := now.Add(time.Duration(i) * 10 * time.Millisecond)
		if _, ok := m.Take(n, true, 0); ok {
			all = append(all, n)
		}
	}
	is.True(float64(mostIn(all)) <= bound(2))
	is.True(len(all) >= 16)
}

func TestCommittedRateIsKeptWithoutPeak(t *testing.T) {
	is := is.New(t)
	m := &meter.Meter{}
	m.SetRate(start, 5)
	n := 0
	for i := range 2000 {
		if _, ok := m.Take(start.Add(time.Duration(i)*10*time.Millisecond), false, 0); ok {
			n++
		}
	}
	is.True(n >= 95)
	is.True(n <= 100)
	is.True(m.Saved(start.Add(20*time.Second)) < 0.1)
}

func TestWaitsAreInOrder(t *testing.T) {
	is := is.New(t)
	m := &meter.Meter{}
	m.SetRate(start, 4)
	last := time.Duration(0)
	for range 4 {
		d, ok := m.Take(start, true, time.Second)
		is.True(ok)
		is.True(d > last)
		last = d
	}
	d, ok := m.Take(start, true, last)
	is.True(!ok)
	is.True(d > last)
	is.True(d <= time.Second)
}

func TestBlockedMeterLetsNothingThroughUntilItResumes(t *testing.T) {
	is := is.New(t)
	m := &meter.Meter{}
	m.SetRate(start, 5)
	now := start.Add(time.Minute)
	m.Block(now.Add(4 * time.Second))
	d, ok := m.Take(now, true, time.Second)
	is.True(!ok)
	is.Equal(d, 4*time.Second)
	_, room := m.Room(now)
	is.Equal(room, 0)
	var before []time.Time
	for i := range 30 {
		before = append(before, now.Add(-time.Duration(i)*100*time.Millisecond))
	}
	m.Resume(now, before)
	n := 0
	for {
		if _, ok := m.Take(now, true, 0); !ok {
			break
		}
		n++
	}
	is.Equal(n, 4) // of the 34 that a span holds
	is.Equal(len(m.Starts(now)), 34)
	is.Equal(len(m.Starts(now.Add(meter.Span))), 0)
}

func TestRoom(t *testing.T) {
	is := is.New(t)
	m := &meter.Meter{}
	m.SetRate(start, 5)
	committed, peak := m.Room(start)
	is.Equal(committed, 0)
	is.Equal(peak, 0)
	now := start.Add(time.Minute)
	committed, peak = m.Room(now)
	is.Equal(committed, 23)
	is.Equal(peak, 34)
	for range 30 {
		m.Take(now, true, 0)
	}
	committed, peak = m.Room(now)
	is.Equal(committed, 0)
	is.Equal(peak, 4)
}
