package main

import (
	"bytes"
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/config/change"
	"siskinrun/internal/data/team"
)

const (
	restartChanges = 1000
	restartItems   = 100_000
)

// residentBytes returns the resident set size of a process.
func residentBytes(pid int) (float64, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/statm", pid))
	if err != nil {
		return 0, err
	}
	f := bytes.Fields(b)
	if len(f) < 2 {
		return 0, errors.New("statm has fewer than two fields")
	}
	n, err := strconv.Atoi(string(f[1]))
	return float64(n * os.Getpagesize()), err
}

// BenchmarkRestart reports the time until a killed control host is ready again after many changes and batch items, and
// its resident memory then.
func BenchmarkRestart(b *testing.B) {
	is := is.New(b)
	f, ctx := runFleet(b)
	l := f.generator()
	f.waitUntil(ctx, "start", func() error { return l.CheckReady(ctx) })
	for i := range restartChanges {
		o, err := f.client().SendChange(ctx, &change.Change{
			ID: "change-" + strconv.Itoa(i), Base: uint64(i + 2), Kind: change.SetTeam, Name: "t",
			Team: &team.Team{Rate: 100_000, Burst: 100_000 + int64(i), Weight: 1, MaxStoredBytes: 1 << 30},
		})
		is.NoErr(err)
		is.Equal(o.Version, uint64(i+3))
	}
	l.Rate = 0
	l.Tokens = 1
	l.PromptBytes = 50
	l.BatchItems = restartItems
	s, err := l.Run(ctx)
	is.NoErr(err)
	is.Equal(s.FaultCount, 0)
	f.kill("control-1")
	b.ResetTimer()
	start := time.Now()
	f.start("control-1")
	one := f.generator()
	one.Hosts = []string{f.hosts["control-1"].Callers}
	f.waitUntil(ctx, "restart", func() error { return one.CheckReady(ctx) })
	b.ReportMetric(float64(time.Since(start))/float64(time.Millisecond), "ready-ms")
	m, err := residentBytes(f.processes["control-1"].Process.Pid)
	is.NoErr(err)
	b.ReportMetric(m/(1<<20), "resident-MiB")
	b.ReportMetric(s.Batch.ItemsPerSecond, "items/s")
}
