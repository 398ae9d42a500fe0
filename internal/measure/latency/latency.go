package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	minMicroseconds   = 1
	maxMicroseconds   = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Histogram is an HDR histogram of latencies, safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// NewHistogram returns an empty histogram with a range of one microsecond to ten minutes.
func NewHistogram() *Histogram {
	return &Histogram{h: hdrhistogram.New(minMicroseconds, maxMicroseconds, significantDigits)}
}

// Add records one latency; a value outside the range counts as the nearest limit.
func (l *Histogram) Add(d time.Duration) {
	n := min(max(d.Microseconds(), minMicroseconds), maxMicroseconds)
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.h.RecordValue(n)
}

// Merge adds all latencies of another histogram.
func (l *Histogram) Merge(o *Histogram) {
	o.mu.Lock()
	s := o.h.Export()
	o.mu.Unlock()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.h.Merge(hdrhistogram.Import(s))
}

// Count returns the number of recorded latencies.
func (l *Histogram) Count() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.h.TotalCount()
}

// Quantile returns the latency that the given share of all latencies does not exceed.
func (l *Histogram) Quantile(share float64) time.Duration {
	const percent = 100
	l.mu.Lock()
	defer l.mu.Unlock()
	return time.Duration(l.h.ValueAtQuantile(share*percent)) * time.Microsecond
}
