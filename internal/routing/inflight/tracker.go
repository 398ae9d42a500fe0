package inflight

import (
	"sync"
	"time"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
)

// roster shares this host's counts and returns those of its peers.
type roster interface {
	Busy(name string, n int)
	Peers(name string) int
}

// picker uses the counts to pick upstreams.
type picker interface {
	SetPeerRequests(name string, n int, now time.Time)
	SetBatch(name string, n int)
}

// batchLimiter reduces batch work in favour of online calls.
type batchLimiter interface {
	OnlineStarted(name string, now time.Time) int
	OnlineEnded(name string, now time.Time)
	SetPeerOnline(name string, n int, now time.Time) int
	SetBatch(name string, n int)
	ObserveFirstToken(name string, took, contract time.Duration, at time.Time)
	ObserveBetweenTokens(name string, took, contract time.Duration, at time.Time)
}

// Tracker tracks the attempts in flight on each upstream.
type Tracker struct {
	// Roster shares the counts of online calls with the peers.
	Roster roster
	// Picker uses the counts to pick upstreams.
	Picker picker
	// BatchLimiter reduces batch work in favour of online calls.
	BatchLimiter batchLimiter
	// Recheck makes this host's batch work check its windows at once.
	Recheck func()
	// Timer is the clock.
	Timer *timer.Service

	mu     sync.Mutex
	online map[string]int
	batch  map[string]int
}

// Begin counts an attempt that is about to be sent.
func (o *Tracker) Begin(name string, c *call.Call) {
	if c.Batch {
		n := o.count(&o.batch, name, 1)
		o.Picker.SetBatch(name, n)
		o.BatchLimiter.SetBatch(name, n)
		return
	}
	o.Roster.Busy(name, o.count(&o.online, name, 1))
	if o.BatchLimiter.OnlineStarted(name, o.Timer.Now()) > 0 {
		o.Recheck()
	}
}

// First records the time to the first byte of an answer.
func (o *Tracker) First(name string, c *call.Call, d time.Duration) {
	if !c.Batch {
		o.BatchLimiter.ObserveFirstToken(name, d, c.Rule.FirstToken.Duration(), o.Timer.Now())
	}
}

// Gap records the time between two events of a stream.
func (o *Tracker) Gap(name string, c *call.Call, d time.Duration) {
	if !c.Batch {
		o.BatchLimiter.ObserveBetweenTokens(name, d, c.Rule.BetweenTokens.Duration(), o.Timer.Now())
	}
}

// End removes an attempt from the counts.
func (o *Tracker) End(name string, c *call.Call) {
	if c.Batch {
		n := o.count(&o.batch, name, -1)
		o.Picker.SetBatch(name, n)
		o.BatchLimiter.SetBatch(name, n)
		return
	}
	o.Roster.Busy(name, o.count(&o.online, name, -1))
	o.BatchLimiter.OnlineEnded(name, o.Timer.Now())
}

// Refresh updates the peers' counts of the named upstreams.
func (o *Tracker) Refresh(names []string) {
	cancel := 0
	for _, n := range names {
		p := o.Roster.Peers(n)
		o.Picker.SetPeerRequests(n, p, o.Timer.Now())
		cancel += o.BatchLimiter.SetPeerOnline(n, p, o.Timer.Now())
	}
	if cancel > 0 {
		o.Recheck()
	}
}

func (o *Tracker) count(m *map[string]int, name string, by int) int {
	o.mu.Lock()
	defer o.mu.Unlock()
	if *m == nil {
		*m = map[string]int{}
	}
	n := (*m)[name] + by
	if n == 0 {
		delete(*m, name)
	} else {
		(*m)[name] = n
	}
	return n
}
