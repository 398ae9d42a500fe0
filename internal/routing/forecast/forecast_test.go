package forecast_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/routing/forecast"
)

const (
	period = 6 * time.Second
	high   = 2400 * time.Millisecond
	mean   = 0.45
	step   = 50 * time.Millisecond
)

// stepped returns the forecast after some time of steps between 0.38 and 1.87 of the mean, the high phase first.
func stepped(d time.Duration) *forecast.Forecast {
	f := &forecast.Forecast{}
	for at := time.Duration(0); at <= d; at += step {
		load := 0.38 * mean
		if at%period < high {
			load = 1.87 * mean
		}
		f.Observe(load, time.Unix(0, int64(at)))
	}
	return f
}

// TestRunsStartWhereTroughOutlastsThem guards against runs that begin just before the load rises, and against troughs that stay
// unused because of the peak before them.
func TestRunsStartWhereTroughOutlastsThem(t *testing.T) {
	for _, c := range []struct {
		name    string
		at, run time.Duration
		low     bool
	}{
		{"high phase", 19 * time.Second, time.Second, false},
		{"begin of a trough", 21 * time.Second, time.Second, true},
		{"end of a trough", 23500 * time.Millisecond, time.Second, false},
		{"a short run near the end of a trough", 23200 * time.Millisecond, 300 * time.Millisecond, true},
		{"a run longer than troughs, at the begin of one", 20800 * time.Millisecond, time.Minute, true},
		{"a run longer than troughs, late in one", 23 * time.Second, time.Minute, false},
		{"before a whole trough was seen", 3 * time.Second, time.Second, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(stepped(c.at).Most(c.run) < mean, c.low)
		})
	}
}

// TestSteadyLoadIsItsOwnForecast guards against seeing steps in noise, and against a guess without any news.
func TestSteadyLoadIsItsOwnForecast(t *testing.T) {
	is := is.New(t)
	f := &forecast.Forecast{}
	is.Equal(f.Most(time.Second), 1.0)
	for i := range 400 {
		f.Observe(0.5+0.02*float64(i%3), time.Unix(0, int64(i)*int64(step)))
	}
	m := f.Most(time.Second)
	is.True(m > 0.5 && m < 0.55)
}
