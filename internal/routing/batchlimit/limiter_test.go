package batchlimit_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/report"
	"siskinrun/internal/routing/batchlimit"
)

var start = time.Unix(0, 0)

func newFullEngine(slots int) *batchlimit.Limiter {
	y := batchlimit.NewLimiter()
	y.SetEngine("e", slots, start)
	y.SetBatch("e", y.Window("e", start))
	return y
}

func TestOnlineDispatchCancelsOnlyTheExcess(t *testing.T) {
	is := is.New(t)
	y := newFullEngine(16)
	is.Equal(y.Window("e", start), 16)
	is.Equal(y.OnlineStarted("e", start), 1)
	is.Equal(y.SetPeerOnline("e", 2, start), 2)
	is.Equal(y.Window("e", start), 13)
	is.Equal(y.SetPeerOnline("e", 1, start), 0)
	is.Equal(y.Window("none", start), 0)
	is.Equal(y.OnlineStarted("none", start), 0)
}

func TestNoBatchOnEngineFullOfOnlineRequests(t *testing.T) {
	is := is.New(t)
	y := newFullEngine(16)
	is.Equal(y.SetPeerOnline("e", 20, start), 16)
	is.Equal(y.Window("e", start.Add(time.Minute)), 0)
	y.SetPeerOnline("e", 0, start.Add(time.Minute))
	is.Equal(y.Window("e", start.Add(time.Minute)), 0) // the peak is still held
	at := start.Add(time.Minute + y.PeakHold + 2*y.RampTime)
	y.Window("e", at.Add(-2*y.RampTime))
	is.Equal(y.Window("e", at), 16)
}

func TestLatencyNearContractLowersCeiling(t *testing.T) {
	for _, c := range []struct {
		name          string
		batch, online float64
		took          time.Duration
		want          int
	}{
		{"within margin", 1, 1, 70 * time.Millisecond, 16},
		{"near contract", 1, 1, 90 * time.Millisecond, 12},
		{"near contract, weight on batch only", 1, 0, 90 * time.Millisecond, 16},
		{"over contract, weight on batch only", 1, 0, 110 * time.Millisecond, 14},
		{"near contract, weight on online only", 0, 1, 70 * time.Millisecond, 9},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			y := newFullEngine(16)
			y.BatchWeight, y.OnlineWeight = c.batch, c.online
			y.ObserveFirstToken("e", c.took, 100*time.Millisecond, start) // a single near miss stays within nearMissShareMax
			is.Equal(y.Window("e", start), 16)
			for range 5 {
				y.ObserveBetweenTokens("e", c.took, 100*time.Millisecond, start) // only one cut within cutInterval
			}
			is.Equal(y.Window("e", start), c.want)
			is.Equal(y.Window("e", start.Add(y.CeilingRecovery)), 16)
		})
	}
}

func TestUnexplainedReportedLoadShrinksWindow(t *testing.T) {
	is := is.New(t)
	y := newFullEngine(16)
	y.Report(report.Report{Upstream: "e", Running: 16, Waiting: 4}, start)
	is.Equal(y.Window("e", start), 12)
	is.Equal(y.Window("e", start.Add(y.ReportTTL/2)), 12)
	is.Equal(y.Window("e", start.Add(y.ReportTTL*3/4)), 14)
	is.Equal(y.Window("e", start.Add(y.ReportTTL)), 16)
}

func BenchmarkLimiter(b *testing.B) {
	y := newFullEngine(32)
	b.ReportAllocs()
	at := start
	for b.Loop() {
		at = at.Add(time.Millisecond)
		y.OnlineStarted("e", at)
		y.SetBatch("e", y.Window("e", at))
		y.ObserveFirstToken("e", time.Millisecond, time.Second, at)
		y.OnlineEnded("e", at)
	}
}

func TestEndedStreamsAreNotReplacedWhileOnlineRises(t *testing.T) {
	is := is.New(t)
	y := newFullEngine(16)
	y.SetBatch("e", 16-y.OnlineStarted("e", start))
	y.SetBatch("e", 12) // three streams ended
	is.Equal(y.Window("e", start.Add(y.GrowthPause-1)), 12)
	is.Equal(y.Window("e", start.Add(y.GrowthPause+2*y.RampTime)), 15)
}
