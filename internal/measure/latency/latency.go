package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	shortest = 1
	longest  = int64(10 * time.Minute / time.Microsecond)
	digits   = 3
)

// Latency is a histogram of times, safe for concurrent use.
type Latency struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewLatency returns an empty histogram from one microsecond to ten minutes.
func NewLatency() *Latency {
	return &Latency{h: hdrhistogram.New(shortest, longest, digits)}
}

// Add counts one time.
func (l *Latency) Add(d time.Duration) {
	n := min(max(d.Microseconds(), shortest), longest)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(n)
}

// Merge counts all times of another histogram.
func (l *Latency) Merge(o *Latency) {
	o.mu.Lock()
	s := o.h.Export()
	o.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.h.Merge(hdrhistogram.Import(s))
}

// Count returns the number of times counted.
func (l *Latency) Count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.h.TotalCount()
}

// Quantile returns the time that the given share of all times does not pass.
func (l *Latency) Quantile(share float64) time.Duration {
	const percent = 100
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.h.ValueAtQuantile(share*percent)) * time.Microsecond
}
