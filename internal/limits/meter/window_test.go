package meter_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/limits/meter"
)

// TestMeterKeepsToAWindow guards against bursts at the edges of windows.
func TestMeterKeepsToAWindow(t *testing.T) {
	const most, window = 13, 1400 * time.Millisecond
	is := is.New(t)
	r := rand.New(rand.NewPCG(1, 1))
	m := &meter.Meter{}
	var all []time.Time
	for now := start; now.Sub(start) < time.Minute; now = now.Add(time.Duration(r.IntN(200)) * time.Millisecond) {
		m.SetWindow(now, 6.2, 9.3, most, window)
		for range r.IntN(20) {
			if d, ok := m.Take(now, r.IntN(2) == 0, 200*time.Millisecond); ok {
				all = append(all, now.Add(d))
			}
		}
	}
	is.True(len(all) >= 6*60)
	for i, from := range all {
		n := 0
		for _, a := range all[i:] {
			if a.Sub(from) >= 0 && a.Sub(from) < window {
				n++
			}
		}
		is.True(n <= most)
	}
}
