package yield

import (
	"math"
	"sync"
	"time"

	"siskinrun/internal/data/report"
)

const (
	// BatchWeightDefault is the default weight of batch throughput.
	BatchWeightDefault = 1.0
	// OnlineWeightDefault is the default weight of the online tail.
	OnlineWeightDefault = 1.0
	// HeadroomDefault is the default number of 32 slots that batch leaves free where online requests fill the engine.
	HeadroomDefault = 6
	// HoldDefault is the default time for which a peak of online requests is kept free.
	HoldDefault = 50 * time.Millisecond
	// QuietDefault is the default time after a rise of online requests in which ended batch streams are not replaced.
	QuietDefault = 300 * time.Millisecond
	// RampDefault is the default time in which the window grows from nothing to all slots.
	RampDefault = 100 * time.Millisecond
	// RecoveryDefault is the default time in which the ceiling that harm has set grows back by all slots.
	RecoveryDefault = 2 * time.Minute
	// ReportLifeDefault is the default time after which a report counts for nothing.
	ReportLifeDefault = 4 * time.Second
)

const headroomSlots = 32

// Yield finds the batch window of each engine by feedback on the online tail; it is safe for concurrent use.
//
// Two parts act together. Demand: slots that online requests use, or used a moment
// ago, are not batch's to take, and a dispatch to a full engine cancels batch at
// once. Harm: when more than one in a hundred online samples comes near its contract,
// a ceiling is cut by a factor, and it grows back by steps.
type Yield struct {
	// BatchWeight is the weight of batch throughput.
	BatchWeight float64
	// OnlineWeight is the weight of the online tail.
	OnlineWeight float64
	// Headroom is the number of 32 slots that batch leaves free where online requests fill the engine, at equal weights.
	Headroom int
	// Hold is the time for which a peak of online requests is kept free.
	Hold time.Duration
	// Quiet is the time after a rise of online requests in which ended batch streams are not replaced.
	Quiet time.Duration
	// Ramp is the time in which the window grows from nothing to all slots.
	Ramp time.Duration
	// Recovery is the time in which the ceiling that harm has set grows back by all slots.
	Recovery time.Duration
	// ReportLife is the time after which a report counts for nothing.
	ReportLife time.Duration

	mu      sync.Mutex
	latest  time.Time
	engines map[string]*engine
}

// NewYield returns a Yield without engines.
func NewYield() *Yield {
	return &Yield{
		BatchWeight:  BatchWeightDefault,
		OnlineWeight: OnlineWeightDefault,
		Headroom:     HeadroomDefault,
		Hold:         HoldDefault,
		Quiet:        QuietDefault,
		Ramp:         RampDefault,
		Recovery:     RecoveryDefault,
		ReportLife:   ReportLifeDefault,
		engines:      make(map[string]*engine),
	}
}

// Set begins to watch an engine, or changes its slots.
func (y *Yield) Set(name string, slots int, now time.Time) {
	y.mu.Lock()
	defer y.mu.Unlock()
	e, ok := y.engines[name]
	if !ok {
		e = &engine{grown: now, limit: float64(slots), raised: now, ceiling: float64(slots)}
		y.engines[name] = e
	}
	e.slots = slots
}

// Remove forgets an engine.
func (y *Yield) Remove(name string) {
	y.mu.Lock()
	defer y.mu.Unlock()
	delete(y.engines, name)
}

// Online notes an online dispatch by this host and returns how many batch streams to cancel at once.
func (y *Yield) Online(name string, now time.Time) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	e, ok := y.engines[name]
	if !ok {
		return 0
	}
	e.own++
	return y.cancel(e, now)
}

// Ended notes the end of an online request that this host dispatched.
func (y *Yield) Ended(name string, now time.Time) {
	y.mu.Lock()
	defer y.mu.Unlock()
	e, ok := y.engines[name]
	if !ok {
		return
	}
	e.high.see(e.online(), now, y.Hold)
	e.own = max(e.own-1, 0)
}

// Peers sets the online requests that other hosts have on an engine and returns how many batch streams to cancel at once.
func (y *Yield) Peers(name string, n int, now time.Time) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	e, ok := y.engines[name]
	if !ok {
		return 0
	}
	if n <= e.peers {
		e.high.see(e.online(), now, y.Hold)
		e.peers = n
		return 0
	}
	e.peers = n
	return y.cancel(e, now)
}

// Batch sets the number of batch streams that run on an engine.
func (y *Yield) Batch(name string, n int) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if e, ok := y.engines[name]; ok {
		e.batch = n
		e.total.Set(e.online()+n, y.latest)
	}
}

// Report takes in what an engine told of its load; one that was taken in before changes nothing.
func (y *Yield) Report(r report.Report, at time.Time) {
	y.mu.Lock()
	defer y.mu.Unlock()
	y.see(at)
	if e, ok := y.engines[r.Upstream]; ok {
		e.report(r, at, y.latest)
	}
}

// FirstToken notes the time to the first token of an online answer against the contracted one.
func (y *Yield) FirstToken(name string, took, contract time.Duration, at time.Time) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if e, ok := y.engines[name]; ok {
		y.sample(e, &e.first, took, contract, at)
	}
}

// BetweenTokens notes the time between tokens of an online answer against the contracted one.
func (y *Yield) BetweenTokens(name string, took, contract time.Duration, at time.Time) {
	y.mu.Lock()
	defer y.mu.Unlock()
	if e, ok := y.engines[name]; ok {
		y.sample(e, &e.between, took, contract, at)
	}
}

// Window returns how many batch streams may run on an engine; those above it are to be cancelled.
func (y *Yield) Window(name string, now time.Time) int {
	y.mu.Lock()
	defer y.mu.Unlock()
	e, ok := y.engines[name]
	if !ok {
		return 0
	}
	y.see(now)
	y.grow(e, now)
	e.raise(now, y.Recovery)
	w := min(int(e.limit), int(e.ceiling), y.room(e, now))
	return max(w, 0)
}

// room returns the slots that online requests leave, now and by the recent peak.
func (y *Yield) room(e *engine, now time.Time) int {
	e.high.see(e.online(), now, y.Hold)
	used := max(e.online(), e.high.most) + e.unknownAt(now, y.ReportLife)
	return e.slots - used - y.reserve(e, used)
}

// reserve returns the slots to keep free, few on a quiet engine and Headroom on one full of online requests.
func (y *Yield) reserve(e *engine, used int) int {
	u := min(float64(used)/float64(max(e.slots, 1)), 1)
	n := 2 * (1 - y.share()) * float64(y.Headroom) * float64(e.slots) / headroomSlots
	return int(math.Round(n * u * u * u))
}

// cancel returns the batch streams in excess of the room that is left.
func (y *Yield) cancel(e *engine, now time.Time) int {
	y.see(now)
	e.total.Set(e.online()+e.batch, now)
	n := max(e.batch-max(y.room(e, now), 0), 0)
	e.batch -= n
	e.limit = min(e.limit, float64(e.batch))
	if e.rise.see(e.online(), now, riseHold) {
		e.grown = now.Add(y.Quiet)
	}
	return n
}

func (y *Yield) grow(e *engine, now time.Time) {
	if now.Before(e.grown) {
		e.limit = min(e.limit, float64(e.batch))
		return
	}
	d := now.Sub(e.grown)
	e.grown = now
	r := float64(max(y.room(e, now), 0))
	e.limit += r * float64(d) / float64(y.Ramp)
	e.limit = min(e.limit, float64(e.slots))
}

// see keeps the latest time that any call told.
func (y *Yield) see(now time.Time) {
	if now.After(y.latest) {
		y.latest = now
	}
}

// share returns the weight of batch against both.
func (y *Yield) share() float64 {
	s := y.BatchWeight + y.OnlineWeight
	if s <= 0 {
		return 0
	}
	return y.BatchWeight / s
}
