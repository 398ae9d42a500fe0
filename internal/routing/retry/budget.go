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
	// DefaultRatio is the default number of retries that each request earns.
	DefaultRatio = 0.1
	// DefaultBurst is the default number of retries that may be saved up.
	DefaultBurst = 20.0
	// DefaultMinRate is the default number of retries a second that a host earns without requests.
	DefaultMinRate = 0.5
	// DefaultMaxAttempts is the default maximum number of attempts of one request.
	DefaultMaxAttempts = 3
	// DefaultOutageShare is the default share of failed attempts above which nothing is retried.
	DefaultOutageShare = 0.5
)

const (
	// decayTime is the time constant of the counts of requests and retries.
	decayTime = 10 * time.Second
	// failureWeight is the weight of one attempt in the moving average of failures.
	failureWeight = 0.05
	// minOutageAttempts is the number of attempts from which on an outage can be detected.
	minOutageAttempts = 20
)

// Budget is the retry budget of one host, a token bucket; it is safe for concurrent use.
//
// Each host earns retries only by its own requests, so the fleet as a whole keeps the
// ratio without coordination; the peers' counts can only tighten the budget.
type Budget struct {
	// Ratio is the number of retries that each request earns.
	Ratio float64
	// Burst is the number of retries that may be saved up.
	Burst float64
	// MinRate is the number of retries a second that a host earns without requests.
	MinRate float64
	// MaxAttempts is the maximum number of attempts of one request.
	MaxAttempts int
	// OutageShare is the share of failed attempts above which nothing is retried.
	OutageShare float64

	mu          sync.Mutex
	tokens      float64
	refilled    time.Time
	failureRate float64
	attempts    int
	own         decayingCounts
	peers       map[string]decayingCounts
}

// decayingCounts holds exponentially decaying counts of requests and retries.
type decayingCounts struct {
	requests float64
	retries  float64
	at       time.Time
}

// NewBudget returns a full budget.
func NewBudget() *Budget {
	return &Budget{
		Ratio:       DefaultRatio,
		Burst:       DefaultBurst,
		MinRate:     DefaultMinRate,
		MaxAttempts: DefaultMaxAttempts,
		OutageShare: DefaultOutageShare,
		tokens:      DefaultBurst,
		peers:       make(map[string]decayingCounts),
	}
}

// Request adds what one new request earns to the budget.
func (r *Budget) Request(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.refill(now)
	r.tokens = min(r.tokens+r.Ratio, r.Burst)
	r.own.decay(now)
	r.own.requests++
}

// Observe records the outcome of one attempt on any upstream.
func (r *Budget) Observe(o outcome.Outcome) {
	if o == outcome.Cancelled || o == outcome.PathLost {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.attempts++
	f := 0.0
	if o != outcome.Succeeded {
		f = 1
	}
	r.failureRate += (f - r.failureRate) * failureWeight
}

// Allow reports whether a request may have another attempt, and if so spends one retry of the budget.
//
// The route's Attempts limits only the attempts that may have run.
func (r *Budget) Allow(now time.Time, v verdict.Verdict, t route.Route, attempts, runs int) bool {
	if v == verdict.Ran || v == verdict.MayHaveRun && !t.Repeatable {
		return false
	}
	if attempts >= r.MaxAttempts || t.MaxAttempts > 0 && runs >= t.MaxAttempts {
		return false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.spend(now)
}

// Counts returns this host's recent requests and retries for its peers.
func (r *Budget) Counts(now time.Time) (requests, retries float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.own.decay(now)
	return r.own.requests, r.own.retries
}

// SetPeer sets the recent requests and retries of another host.
func (r *Budget) SetPeer(host string, requests, retries float64, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.peers[host] = decayingCounts{requests: requests, retries: retries, at: now}
}

// Outage reports whether so many attempts fail that nothing is retried.
func (r *Budget) Outage() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.outage()
}

func (r *Budget) outage() bool {
	return r.attempts >= minOutageAttempts && r.failureRate > r.OutageShare
}

func (r *Budget) spend(now time.Time) bool {
	r.refill(now)
	if r.tokens < 1 || r.outage() || r.fleetOverBudget(now) {
		return false
	}
	r.tokens--
	r.own.decay(now)
	r.own.retries++
	return true
}

// fleetOverBudget reports whether the known retries of the fleet exceed its ratio plus one burst.
func (r *Budget) fleetOverBudget(now time.Time) bool {
	if len(r.peers) == 0 {
		return false
	}
	r.own.decay(now)
	requests, retries := r.own.requests, r.own.retries
	for h, t := range r.peers {
		if now.Sub(t.at) > decayTime {
			delete(r.peers, h)
			continue
		}
		requests += t.requests
		retries += t.retries
	}
	return retries >= r.Ratio*requests+r.Burst
}

func (r *Budget) refill(now time.Time) {
	if r.refilled.IsZero() {
		r.refilled = now
	}
	d := now.Sub(r.refilled)
	if d <= 0 {
		return
	}
	r.refilled = now
	r.tokens = min(r.tokens+r.MinRate*d.Seconds(), r.Burst)
}

// decay multiplies the counts by exp(-elapsed/decayTime), so they cover about one decayTime.
func (t *decayingCounts) decay(now time.Time) {
	d := now.Sub(t.at)
	if t.at.IsZero() || d <= 0 {
		t.at = now
		return
	}
	k := math.Exp(-d.Seconds() / decayTime.Seconds())
	t.requests *= k
	t.retries *= k
	t.at = now
}
