package profile

import (
	"bytes"
	"context"
	"runtime"
	"runtime/pprof"
	"strconv"
	"sync"
	"time"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/operatorapi"
	"siskinrun/pkg/refusal"
)

const (
	// processorProfile names the profile that samples where processor time goes.
	processorProfile = "cpu"
	// heapProfile names the profile of live memory.
	heapProfile = "heap"

	defaultSeconds = 5
	maxSeconds     = 15 // a request to an operators' address lasts 20 s at most
)

var (
	errUnknown = refusal.NewNotRun(404, "unknown-profile", "name must be cpu or one of the profiles of the Go runtime, such as heap or goroutine")
	errSeconds = refusal.NewNotRun(400, "bad-parameter", "seconds must be a whole number from 1 to "+strconv.Itoa(maxSeconds))
	errRunning = refusal.NewNotRun(409, "profile-running", "another processor profile is being taken")
)

// Profiler takes profiles in the format of Go's pprof.
type Profiler struct {
	// Timer provides the sleep while a processor profile runs.
	Timer *timer.Service

	running sync.Mutex
}

// Serve answers GET /v1/profile: the profile that the parameter name gives, taken over as many seconds as the parameter
// seconds says if it samples processor time.
func (p *Profiler) Serve(ctx context.Context, r *operatorapi.Request) ([]byte, error) {
	name := r.Query("name")
	if name == processorProfile {
		return p.sampleProcessor(ctx, r.Query("seconds"))
	}
	f := pprof.Lookup(name)
	if f == nil {
		return nil, errUnknown
	}
	if name == heapProfile {
		runtime.GC() // the profile is as of the last collection
	}
	var b bytes.Buffer
	if err := f.WriteTo(&b, 0); err != nil {
		return nil, err
	}
	return b.Bytes(), nil
}

func (p *Profiler) sampleProcessor(ctx context.Context, seconds string) ([]byte, error) {
	n := defaultSeconds
	if seconds != "" {
		v, err := strconv.Atoi(seconds)
		if err != nil || v < 1 || v > maxSeconds {
			return nil, errSeconds
		}
		n = v
	}
	if !p.running.TryLock() {
		return nil, errRunning
	}
	defer p.running.Unlock()
	var b bytes.Buffer
	if err := pprof.StartCPUProfile(&b); err != nil {
		return nil, err
	}
	err := p.Timer.Sleep(ctx, time.Duration(n)*time.Second)
	pprof.StopCPUProfile()
	return b.Bytes(), err
}
