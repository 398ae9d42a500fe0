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
func (h *Histogram) Add(d time.Duration) {
	n := min(max(d.Microseconds(), minMicroseconds), maxMicroseconds)
	h.mu.Lock()
	defer h.mu.Unlock()
	_ = h.h.RecordValue(n)
}

// Merge adds all latencies of another histogram.
func (h *Histogram) Merge(o *Histogram) {
	o.mu.Lock()
	s := o.h.Export()
	o.mu.Unlock()
	h.mu.Lock()
	defer h.mu.Unlock()
	h.h.Merge(hdrhistogram.Import(s))
}

// Count returns the number of recorded latencies.
func (h *Histogram) Count() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.h.TotalCount()
}

// Quantile returns the latency that the given share of all latencies does not exceed.
func (h *Histogram) Quantile(share float64) time.Duration {
	const percent = 100
	h.mu.Lock()
	defer h.mu.Unlock()
	return time.Duration(h.h.ValueAtQuantile(share*percent)) * time.Microsecond
}
