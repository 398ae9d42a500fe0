package meter

import (
	"slices"
	"time"

	"siskinrun/internal/limits/pace"
)

const (
	// Span is the length of the spans in which an upstream bears more than its rate: 4 s at the upstream, and what requests
	// may differ in the time from their permit to their arrival.
	Span = 4250 * time.Millisecond
	// PeakFactor is the peak rate as a multiple of the committed one.
	PeakFactor = 1.5

	// spanFactor and spanRequests make the most requests in a span: spanFactor times the rate in a second, and spanRequests.
	spanFactor   = 6
	spanRequests = 4
	// committedRequests and Span make what is saved up at the committed rate.
	committedRequests = 2
	// maxRate bounds the rate in requests a second, and with it the requests that are remembered.
	maxRate = 1000
)

// Meter holds the requests to one upstream to a committed rate and, where more is asked, to a peak rate above it. It lets
// bursts through, but no more in any span than the upstream bears.
type Meter struct {
	committed pace.Bucket
	peak      pace.Bucket
	// most is the most requests in a span, and starts when those of the last span and the next ones start, in order.
	most   int
	starts []time.Time
	// blocked is until when nothing is let through.
	blocked time.Time
	// window is the length of the spans, zero for Span.
	window time.Duration
}

// SetRate changes the committed rate in requests a second.
func (m *Meter) SetRate(now time.Time, rate float64) {
	rate = min(rate, maxRate)
	m.most = int(spanFactor*rate + spanRequests)
	m.committed.SetRate(now, rate, Depth(rate))
	m.peak.SetRate(now, rate*PeakFactor, float64(m.most))
}

// SetWindow changes the rates in requests a second and the most requests in each window of a length up to Span. It stands in
// for SetRate where an upstream bears a number of requests in a window rather than a rate.
func (m *Meter) SetWindow(now time.Time, committed, peak float64, most int, window time.Duration) {
	m.most, m.window = most, min(window, Span)
	m.committed.SetRate(now, min(committed, maxRate), float64(most))
	m.peak.SetRate(now, min(peak, maxRate), float64(most))
}

// Depth returns how many requests are saved up at a committed rate in requests a second.
func Depth(rate float64) float64 {
	return committedRequests + rate*Span.Seconds()
}

// Block lets nothing through until a time, since others may have let requests through in the span before.
func (m *Meter) Block(until time.Time) {
	if until.After(m.blocked) {
		m.blocked = until
	}
}

// Take lets a request through that may start within wait, at the committed rate or, if peak is set, at the peak rate. It
// returns when the request may start, also if that is too late, and reports whether it was let through.
func (m *Meter) Take(now time.Time, peak bool, wait time.Duration) (delay time.Duration, taken bool) {
	delay, p := m.Delays(now)
	if peak {
		delay = p
	}
	if delay > max(wait, 0) {
		return delay, false
	}
	m.peak.Take(now, delay)
	m.committed.Take(now, delay) // at the peak rate there may be no token left
	m.add(now.Add(delay))
	return delay, true
}

// Delays returns when the next request may start at the committed and at the peak rate.
func (m *Meter) Delays(now time.Time) (committed, peak time.Duration) {
	peak = max(m.peak.Delay(now, 0), m.spanDelay(now), m.blocked.Sub(now))
	return max(m.committed.Delay(now, 0), peak), peak
}

// Saved returns how much of what is saved up at the committed rate is left, from 0 to 1.
func (m *Meter) Saved(now time.Time) float64 {
	return max(m.committed.Fill(now), 0)
}

// Room returns how many requests may start now at the committed and at the peak rate.
func (m *Meter) Room(now time.Time) (committed, peak int) {
	if _, d := m.Delays(now); d > 0 {
		return 0, 0
	}
	peak = min(int(m.peak.Tokens(now)), m.most-len(m.starts))
	return min(max(int(m.committed.Tokens(now)), 0), peak), peak
}

// Starts returns when the requests of the last span and those that are to come start.
func (m *Meter) Starts(now time.Time) []time.Time {
	m.prune(now)
	return slices.Clone(m.starts)
}

// Resume goes on with the requests that another meter let through, and ends a Block.
func (m *Meter) Resume(now time.Time, starts []time.Time) {
	m.blocked = time.Time{}
	for _, t := range starts {
		m.add(t)
	}
	m.prune(now)
}

// spanDelay returns when one more request leaves no span with too many.
func (m *Meter) spanDelay(now time.Time) time.Duration {
	m.prune(now)
	n := len(m.starts) - m.most
	if n < 0 {
		return 0
	}
	return m.starts[n].Add(m.span()).Sub(now)
}

func (m *Meter) span() time.Duration {
	if m.window > 0 {
		return m.window
	}
	return Span
}

func (m *Meter) add(start time.Time) {
	i, _ := slices.BinarySearchFunc(m.starts, start, time.Time.Compare)
	m.starts = slices.Insert(m.starts, i, start)
}

func (m *Meter) prune(now time.Time) {
	n := 0
	for n < len(m.starts) && now.Sub(m.starts[n]) >= m.span() {
		n++
	}
	m.starts = slices.Delete(m.starts, 0, n)
}
