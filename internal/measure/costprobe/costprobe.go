package costprobe

import (
	"runtime"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/measure/costcurve"
)

const (
	// TargetUpstreams is the number of upstreams at the target size.
	TargetUpstreams = 1200
	// TargetTeams is the number of teams at the target size.
	TargetTeams = 2000
	// TargetKeys is the number of keys assumed at the target size.
	TargetKeys = 10000
	// TargetRoutes is the number of routes assumed at the target size.
	TargetRoutes = 100
	// TargetJobItems is the mean number of items of a job at the target size.
	TargetJobItems = 22222
	// TargetJobs is the number of jobs a day at the target size.
	TargetJobs = 7200
	// TargetSeries is the number of teams times four models at the target size.
	TargetSeries = 8000

	minRunTime  = 200 * time.Millisecond
	initialRuns = 64
)

// Probe measures the CPU time and the heap memory of components inside this process.
type Probe struct {
	// Folder is the directory for the ledger's temporary files.
	Folder string

	curves []*costcurve.Curve
	now    time.Time
}

// NewProbe returns a probe that writes its temporary files below folder.
func NewProbe(folder string) *Probe {
	return &Probe{Folder: folder, now: time.Unix(1800000000, 0)}
}

// Run measures all components and returns a cost curve for each metric.
func (p *Probe) Run() ([]*costcurve.Curve, error) {
	warmup := &Probe{Folder: p.Folder, now: p.now}
	if err := errors.CombineErrors(warmup.measureRoutes(), warmup.measureJobs()); err != nil {
		return nil, err
	}
	for _, f := range []func() error{
		p.measurePicker, p.measureAdmission, p.measureFairQueue, p.measureMembership, p.measureBurnRate, p.measureDecisionLog,
		p.measureTeams, p.measureKeys, p.measureRoutes, p.measureItems, p.measureJobs,
	} {
		if err := f(); err != nil {
			return nil, err
		}
	}
	return p.curves, nil
}

func (p *Probe) newCurve(area, metric, dimension string, target float64) *costcurve.Curve {
	s := &costcurve.Curve{Area: area, Metric: metric, Dimension: dimension, Target: target}
	p.curves = append(p.curves, s)
	return s
}

// cpuTimePerRun returns the CPU time of one run of f in nanoseconds. It doubles the runs until they take minRunTime.
func cpuTimePerRun(f func(i int)) (float64, error) {
	i := 0
	for n := initialRuns; ; n *= 2 {
		before, err := cpuTime()
		if err != nil {
			return 0, err
		}
		for range n {
			f(i)
			i++
		}
		after, err := cpuTime()
		if err != nil {
			return 0, err
		}
		if after-before >= minRunTime {
			return float64(after-before) / float64(n), nil
		}
	}
}

func cpuTime() (time.Duration, error) {
	var u syscall.Rusage
	err := syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano()), errors.Wrap(err, "read CPU time")
}

// heapBytes returns the heap bytes in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}
