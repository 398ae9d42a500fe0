package probe

import (
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/measure/slope"
)

const (
	// TargetUpstreams is the number of upstreams at the target.
	TargetUpstreams = 1200
	// TargetTeams is the number of teams at the target.
	TargetTeams = 2000
	// TargetKeys is the number of keys assumed at the target.
	TargetKeys = 10000
	// TargetRoutes is the number of routes assumed at the target.
	TargetRoutes = 100
	// TargetJobItems is the number of items of a mean job at the target.
	TargetJobItems = 22222
	// TargetJobs is the number of jobs a day at the target.
	TargetJobs = 7200
	// TargetSeries is the number of teams times four models at the target.
	TargetSeries = 8000

	leastTime = 200 * time.Millisecond
	firstRuns = 64
)

// Probe measures processor time and memory inside this process.
type Probe struct {
	// Folder takes files of the ledger.
	Folder string

	slopes []*slope.Slope
	now    time.Time
}

// NewProbe returns a probe that may write below folder.
func NewProbe(folder string) *Probe {
	return &Probe{Folder: folder, now: time.Unix(1800000000, 0)}
}

// Run measures everything and returns the slopes.
func (p *Probe) Run() ([]*slope.Slope, error) {
	warm := &Probe{Folder: p.Folder, now: p.now}
	if err := errors.CombineErrors(warm.routes(), warm.jobs()); err != nil {
		return nil, err
	}
	for _, f := range []func() error{p.choose, p.allowance, p.fair, p.membership, p.burn, p.trace, p.teams, p.keys, p.routes, p.items, p.jobs} {
		if err := f(); err != nil {
			return nil, err
		}
	}
	return p.slopes, nil
}

func (p *Probe) slope(area, figure, size string, target float64) *slope.Slope {
	s := &slope.Slope{Area: area, Figure: figure, Size: size, Target: target}
	p.slopes = append(p.slopes, s)
	return s
}

// cost returns the processor time in nanoseconds of one run of f.
func cost(f func(i int)) (float64, error) {
	i := 0
	for n := firstRuns; ; n *= 2 {
		before, err := processorTime()
		if err != nil {
			return 0, err
		}
		for range n {
			f(i)
			i++
		}
		after, err := processorTime()
		if err != nil {
			return 0, err
		}
		if after-before >= leastTime {
			return float64(after-before) / float64(n), nil
		}
	}
}

func processorTime() (time.Duration, error) {
	var u syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), errors.Wrap(err, "read processor time")
}

// heap returns the bytes in use after a collection.
func heap() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
