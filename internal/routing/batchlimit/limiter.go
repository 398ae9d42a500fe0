package batchlimit

import (
	"math"
	"sync"
	"time"

	"siskinrun/internal/data/loadreport"
)

const (
	// DefaultBatchWeight is the default weight of batch throughput.
	DefaultBatchWeight = 1.0
	// DefaultOnlineWeight is the default weight of online tail latency.
	DefaultOnlineWeight = 1.0
	// DefaultHeadroom is the default number of slots, out of 32, that stay free when online requests fill the engine.
	DefaultHeadroom = 6
	// DefaultPeakHold is the default time for which slots stay free after a peak of online requests.
	DefaultPeakHold = 50 * time.Millisecond
	// DefaultGrowthPause is the default time after a rise of online requests during which ended batch streams are not replaced.
	DefaultGrowthPause = 300 * time.Millisecond
	// DefaultRampTime is the default time in which the window grows from zero to all slots.
	DefaultRampTime = 100 * time.Millisecond
	// DefaultCeilingRecovery is the default time in which a lowered ceiling rises again by all slots.
	DefaultCeilingRecovery = 2 * time.Minute
	// DefaultReportTTL is the default time after which a report is ignored.
	DefaultReportTTL = 4 * time.Second
)

// headroomBaseSlots is the number of slots for which Headroom is given.
const headroomBaseSlots = 32

// Limiter sets the batch window of each engine from online load and latency; it is safe for concurrent use.
//
// The batch window of an engine is the number of batch streams up to which new ones start; Keep is the number of those that
// run already and may go on. Two mechanisms act together. Demand: batch does not use slots that online requests
// use or used a moment ago, and an online dispatch to a full engine cancels batch
// streams at once. Latency: when more than 1% of the online samples come close to
// the time for which their callers wait, a ceiling is cut by a factor and then rises linearly.
type Limiter struct {
	// BatchWeight is the weight of batch throughput.
	BatchWeight float64
	// OnlineWeight is the weight of online tail latency.
	OnlineWeight float64
	// Headroom is the number of slots, out of 32, that stay free when online requests fill the engine, at equal weights.
	Headroom int
	// PeakHold is the time for which slots stay free after a peak of online requests.
	PeakHold time.Duration
	// GrowthPause is the time after a rise of online requests during which ended batch streams are not replaced.
	GrowthPause time.Duration
	// RampTime is the time in which the window grows from zero to all slots.
	RampTime time.Duration
	// CeilingRecovery is the time in which a lowered ceiling rises again by all slots.
	CeilingRecovery time.Duration
	// ReportTTL is the time after which a report is ignored.
	ReportTTL time.Duration
	// RunsWhole, if set, reports whether running streams of an engine stop only for online requests that need their slots.
	RunsWhole func(name string) bool

	mu      sync.Mutex
	latest  time.Time
	engines map[string]*engine
}

// NewLimiter returns a Limiter without engines.
func NewLimiter() *Limiter {
	return &Limiter{
		BatchWeight:     DefaultBatchWeight,
		OnlineWeight:    DefaultOnlineWeight,
		Headroom:        DefaultHeadroom,
		PeakHold:        DefaultPeakHold,
		GrowthPause:     DefaultGrowthPause,
		RampTime:        DefaultRampTime,
		CeilingRecovery: DefaultCeilingRecovery,
		ReportTTL:       DefaultReportTTL,
		engines:         make(map[string]*engine),
	}
}

// SetEngine adds an engine or changes its number of slots.
func (l *Limiter) SetEngine(name string, slots int, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.engines[name]
	if !ok {
		e = &engine{limitUpdated: now, limit: float64(slots), ceilingUpdated: now, ceiling: float64(slots)}
		l.engines[name] = e
	}
	e.slots = slots
}

// Slots returns the number of slots of an engine, zero if it is not known.
func (l *Limiter) Slots(name string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.engines[name]; ok {
		return e.slots
	}
	return 0
}

// RemoveEngine removes an engine.
func (l *Limiter) RemoveEngine(name string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.engines, name)
}

// OnlineStarted records an online dispatch by this host and returns how many batch streams to cancel at once.
func (l *Limiter) OnlineStarted(name string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.engines[name]
	if !ok {
		return 0
	}
	e.ownOnline++
	return l.makeRoom(e, now)
}

// OnlineEnded records the end of an online request that this host dispatched.
func (l *Limiter) OnlineEnded(name string, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.engines[name]
	if !ok {
		return
	}
	e.recentPeak.observe(e.online(), now, l.PeakHold)
	e.ownOnline = max(e.ownOnline-1, 0)
}

// SetPeerOnline sets the number of online requests of other hosts on an engine and returns how many batch streams to cancel at once.
func (l *Limiter) SetPeerOnline(name string, n int, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.engines[name]
	if !ok {
		return 0
	}
	if n <= e.peerOnline {
		e.recentPeak.observe(e.online(), now, l.PeakHold)
		e.peerOnline = n
		return 0
	}
	e.peerOnline = n
	return l.makeRoom(e, now)
}

// SetBatch sets the number of batch streams that run on an engine.
func (l *Limiter) SetBatch(name string, n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.engines[name]; ok {
		e.batch = n
		e.history.Set(e.online()+n, l.latest)
	}
}

// Report applies a load report of an engine; repeated and older reports are ignored.
func (l *Limiter) Report(r loadreport.Report, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.advance(at)
	if e, ok := l.engines[r.Upstream]; ok {
		e.applyReport(r, at, l.latest)
	}
}

// ObserveFirstToken records the time to the first token of an online answer, and for how long its caller would have waited; zero
// if that is unknown.
func (l *Limiter) ObserveFirstToken(name string, took, patience time.Duration, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.engines[name]; ok {
		l.observeLatency(e, &e.firstToken, took, patience, at)
	}
}

// ObserveBetweenTokens records a time between tokens of an online answer, and for how long its caller would have waited; zero if
// that is unknown.
func (l *Limiter) ObserveBetweenTokens(name string, took, patience time.Duration, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if e, ok := l.engines[name]; ok {
		l.observeLatency(e, &e.betweenTokens, took, patience, at)
	}
}

// Keep returns how many of the batch streams that run on an engine may go on; the caller cancels those above it.
//
// It is never less than Window: a stream that holds a slot costs its work when it is cancelled, so it stays until known
// online requests need the slot, or the ceiling is below it. Reserves and load that is only inferred keep new streams out.
func (l *Limiter) Keep(name string, now time.Time) int {
	w := l.Window(name, now)
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.engines[name]
	if !ok {
		return 0
	}
	free := e.slots - e.online()
	if l.RunsWhole == nil || !l.RunsWhole(name) {
		free = min(int(e.ceiling), free)
	}
	return max(free, w)
}

// Window returns up to how many batch streams may be started on an engine.
func (l *Limiter) Window(name string, now time.Time) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.engines[name]
	if !ok {
		return 0
	}
	l.advance(now)
	l.growLimit(e, now)
	e.raiseCeiling(now, l.CeilingRecovery)
	w := min(int(e.limit), int(e.ceiling), l.freeSlots(e, now))
	return max(w, 0)
}

// freeSlots returns the slots that are left by current and recent online requests, unexplained load and the reserve.
func (l *Limiter) freeSlots(e *engine, now time.Time) int {
	e.recentPeak.observe(e.online(), now, l.PeakHold)
	used := max(e.online(), e.recentPeak.value) + e.unexplainedAt(now, l.ReportTTL)
	return e.slots - used - l.reserve(e, used)
}

// reserve returns the slots to keep free: few on an idle engine, Headroom on one full of online requests.
func (l *Limiter) reserve(e *engine, used int) int {
	u := min(float64(used)/float64(max(e.slots, 1)), 1)
	n := 2 * (1 - l.batchShare()) * float64(l.Headroom) * float64(e.slots) / headroomBaseSlots
	return int(math.Round(n * u * u * u))
}

// makeRoom returns the number of batch streams to cancel, those that exceed the free slots, and stops counting them.
func (l *Limiter) makeRoom(e *engine, now time.Time) int {
	l.advance(now)
	e.history.Set(e.online()+e.batch, now)
	n := max(e.batch-max(l.freeSlots(e, now), 0), 0)
	e.batch -= n
	e.limit = min(e.limit, float64(e.batch))
	if e.risePeak.observe(e.online(), now, risePeakHold) {
		e.limitUpdated = now.Add(l.GrowthPause)
	}
	return n
}

// growLimit raises the limit by the free slots in each RampTime. While growth is paused, it lowers the limit to the
// running streams, so that ended ones are not replaced.
func (l *Limiter) growLimit(e *engine, now time.Time) {
	if now.Before(e.limitUpdated) {
		e.limit = min(e.limit, float64(e.batch))
		return
	}
	d := now.Sub(e.limitUpdated)
	e.limitUpdated = now
	r := float64(max(l.freeSlots(e, now), 0))
	e.limit += r * float64(d) / float64(l.RampTime)
	e.limit = min(e.limit, float64(e.slots))
}

// advance keeps the latest time that any caller passed.
func (l *Limiter) advance(now time.Time) {
	if now.After(l.latest) {
		l.latest = now
	}
}

// batchShare returns the weight of batch as a share of both weights.
func (l *Limiter) batchShare() float64 {
	s := l.BatchWeight + l.OnlineWeight
	if s <= 0 {
		return 0
	}
	return l.BatchWeight / s
}
