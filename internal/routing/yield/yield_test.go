package yield_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/report"
	"siskinrun/internal/routing/yield"
)

var start = time.Unix(0, 0)

func full(slots int) *yield.Yield {
	y := yield.NewYield()
	y.Set("e", slots, start)
	y.Batch("e", y.Window("e", start))
	return y
}

func TestOnlineDispatchCancelsOnlyWhatItNeeds(t *testing.T) {
	is := is.New(t)
	y := full(16)
	is.Equal(y.Window("e", start), 16)
	is.Equal(y.Online("e", start), 1)
	is.Equal(y.Peers("e", 2, start), 2)
	is.Equal(y.Window("e", start), 13)
	is.Equal(y.Peers("e", 1, start), 0)
	is.Equal(y.Window("none", start), 0)
	is.Equal(y.Online("none", start), 0)
}

func TestEnginesFullOfOnlineRunNoBatch(t *testing.T) {
	is := is.New(t)
	y := full(16)
	is.Equal(y.Peers("e", 20, start), 16)
	is.Equal(y.Window("e", start.Add(time.Minute)), 0)
	y.Peers("e", 0, start.Add(time.Minute))
	is.Equal(y.Window("e", start.Add(time.Minute)), 0) // the peak is held
	at := start.Add(time.Minute + y.Hold + 2*y.Ramp)
	y.Window("e", at.Add(-2*y.Ramp))
	is.Equal(y.Window("e", at), 16)
}

func TestSamplesNearTheContractLowerTheCeiling(t *testing.T) {
	for _, c := range []struct {
		name          string
		batch, online float64
		took          time.Duration
		want          int
	}{
		{"within", 1, 1, 70 * time.Millisecond, 16},
		{"near", 1, 1, 90 * time.Millisecond, 12},
		{"near, batch weighs all", 1, 0, 90 * time.Millisecond, 16},
		{"over, batch weighs all", 1, 0, 110 * time.Millisecond, 14},
		{"near, online weighs all", 0, 1, 70 * time.Millisecond, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			y := full(16)
			y.BatchWeight, y.OnlineWeight = c.batch, c.online
			y.FirstToken("e", c.took, 100*time.Millisecond, start) // one in a hundred is within the tail
			is.Equal(y.Window("e", start), 16)
			for range 5 {
				y.BetweenTokens("e", c.took, 100*time.Millisecond, start) // one cut for one cause
			}
			is.Equal(y.Window("e", start), c.want)
			is.Equal(y.Window("e", start.Add(y.Recovery)), 16)
		})
	}
}

func TestReportsCountWhatNoOneElseTells(t *testing.T) {
	is := is.New(t)
	y := full(16)
	y.Report(report.Report{Upstream: "e", Running: 16, Waiting: 4}, start)
	is.Equal(y.Window("e", start), 12)
	is.Equal(y.Window("e", start.Add(y.ReportLife/2)), 12)
	is.Equal(y.Window("e", start.Add(y.ReportLife*3/4)), 14)
	is.Equal(y.Window("e", start.Add(y.ReportLife)), 16)
}

func BenchmarkYieldDecision(b *testing.B) {
	y := full(32)
	b.ReportAllocs()
	at := start
	for b.Loop() {
		at = at.Add(time.Millisecond)
		y.Online("e", at)
		y.Batch("e", y.Window("e", at))
		y.FirstToken("e", time.Millisecond, time.Second, at)
		y.Ended("e", at)
	}
}

func TestEndedStreamsAreNotReplacedWhileOnlineRises(t *testing.T) {
	is := is.New(t)
	y := full(16)
	y.Batch("e", 16-y.Online("e", start))
	y.Batch("e", 12) // three ended
	is.Equal(y.Window("e", start.Add(y.Quiet-1)), 12)
	is.Equal(y.Window("e", start.Add(y.Quiet+2*y.Ramp)), 15)
}
