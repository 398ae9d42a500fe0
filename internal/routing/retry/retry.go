package retry

import (
	"math"
	"sync"
	"time"

	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/route"
	"siskinrun/pkg/verdict"
)

const (
	// RatioDefault is the default number of repeats for each request.
	RatioDefault = 0.1
	// BurstDefault is the default number of repeats that may be saved up.
	BurstDefault = 20.0
	// FloorDefault is the default number of repeats a second that a quiet host may send.
	FloorDefault = 0.5
	// AttemptsDefault is the default number of attempts of one request.
	AttemptsDefault = 3
	// OutageDefault is the default share of failed attempts above which nothing is repeated.
	OutageDefault = 0.5
	// HedgeShareDefault is the default share of the contracted time after which a second attempt may start.
	HedgeShareDefault = 0.5
)

const (
	window      = 10 * time.Second
	failWeight  = 0.05
	attemptsMin = 20
)

// Retry is the budget of repeats of one host in its fleet; it is safe for concurrent use.
//
// Each host earns repeats only by its own requests, so the fleet's sum keeps the
// ratio without agreement; what peers tell only tightens it.
type Retry struct {
	// Ratio is the number of repeats that each request earns.
	Ratio float64
	// Burst is the number of repeats that may be saved up.
	Burst float64
	// Floor is the number of repeats a second that a quiet host earns.
	Floor float64
	// Attempts is the number of attempts of one request.
	Attempts int
	// Outage is the share of failed attempts above which nothing is repeated.
	Outage float64
	// HedgeShare is the share of the contracted time to the first byte after which a second attempt may start.
	HedgeShare float64

	mu       sync.Mutex
	tokens   float64
	filled   time.Time
	failed   float64
	attempts int
	own      tally
	peers    map[string]tally
}

// tally is a decaying count of requests and repeats.
type tally struct {
	requests float64
	repeats  float64
	at       time.Time
}

// NewRetry returns a budget that starts full.
func NewRetry() *Retry {
	return &Retry{
		Ratio:      RatioDefault,
		Burst:      BurstDefault,
		Floor:      FloorDefault,
		Attempts:   AttemptsDefault,
		Outage:     OutageDefault,
		HedgeShare: HedgeShareDefault,
		tokens:     BurstDefault,
		peers:      make(map[string]tally),
	}
}

// Request earns the share of a repeat that one new request is worth.
func (r *Retry) Request(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.fill(now)
	r.tokens = min(r.tokens+r.Ratio, r.Burst)
	r.own.age(now)
	r.own.requests++
}

// Observe notes the end of one attempt on any upstream.
func (r *Retry) Observe(o outcome.Outcome) {
	if o == outcome.Cancelled {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	f := 0.0
	if o != outcome.Succeeded {
		f = 1
	}
	r.failed += (f - r.failed) * failWeight
}

// Allow reports whether a request may have another attempt after those it had, and spends the budget if so.
//
// A route's own number of attempts bounds those that may have run.
func (r *Retry) Allow(now time.Time, v verdict.Verdict, t route.Route, attempts, runs int) bool {
	if v == verdict.Ran || v == verdict.MayHaveRun && !t.Repeatable {
		return false
	}
	if attempts >= r.Attempts || t.Attempts > 0 && runs >= t.Attempts {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spend(now)
}

// Hedge reports whether a request that has waited without a byte may have a second attempt beside the first, and spends the budget if so.
func (r *Retry) Hedge(now time.Time, t route.Route, waited time.Duration) bool {
	limit := time.Duration(float64(t.FirstToken) * r.HedgeShare)
	if !t.Repeatable || limit <= 0 || waited < limit {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spend(now)
}

// Counts returns this host's recent requests and repeats for its peers.
func (r *Retry) Counts(now time.Time) (requests, repeats float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own.age(now)
	return r.own.requests, r.own.repeats
}

// Peer sets the recent requests and repeats of another host.
func (r *Retry) Peer(host string, requests, repeats float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[host] = tally{requests: requests, repeats: repeats, at: now}
}

// Out reports whether so many attempts fail that nothing is repeated.
func (r *Retry) Out() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out()
}

func (r *Retry) out() bool {
	return r.attempts >= attemptsMin && r.failed > r.Outage
}

func (r *Retry) spend(now time.Time) bool {
	r.fill(now)
	if r.tokens < 1 || r.out() || r.overspent(now) {
		return false
	}
	r.tokens--
	r.own.age(now)
	r.own.repeats++
	return true
}

// overspent reports whether the fleet, as far as known, has repeated more than its ratio and all bursts allow.
func (r *Retry) overspent(now time.Time) bool {
	if len(r.peers) == 0 {
		return false
	}
	r.own.age(now)
	requests, repeats := r.own.requests, r.own.repeats
	for h, t := range r.peers {
		if now.Sub(t.at) > window {
			delete(r.peers, h)
			continue
		}
		requests += t.requests
		repeats += t.repeats
	}
	return repeats >= r.Ratio*requests+r.Burst
}

func (r *Retry) fill(now time.Time) {
	if r.filled.IsZero() {
		r.filled = now
	}
	d := now.Sub(r.filled)
	if d <= 0 {
		return
	}
	r.filled = now
	r.tokens = min(r.tokens+r.Floor*d.Seconds(), r.Burst)
}

// age lets a tally fade so that it stands for about one window.
func (t *tally) age(now time.Time) {
	d := now.Sub(t.at)
	if t.at.IsZero() || d <= 0 {
		t.at = now
		return
	}
	k := math.Exp(-d.Seconds() / window.Seconds())
	t.requests *= k
	t.repeats *= k
	t.at = now
}
