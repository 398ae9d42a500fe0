package inflight

import (
	"sync"
	"time"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
)

// gossip shares this host's counts and returns those of its peers.
type gossip interface {
	Busy(name string, n int)
	BusyBatch(name string, n int)
	Peers(name string) int
	PeersBatch(name string) int
}

// picker uses the counts to pick upstreams.
type picker interface {
	SetPeerRequests(name string, n int, now time.Time)
	SetPeerBatch(name string, n int)
	SetBatch(name string, n int)
}

// batchLimiter reduces batch work in favour of online calls.
type batchLimiter interface {
	OnlineStarted(name string, now time.Time) int
	OnlineEnded(name string, now time.Time)
	SetPeerOnline(name string, n int, now time.Time) int
	SetBatch(name string, n int)
	ObserveFirstToken(name string, took, patience time.Duration, at time.Time)
	ObserveBetweenTokens(name string, took, patience time.Duration, at time.Time)
}

// Tracker tracks the attempts in flight on each upstream.
type Tracker struct {
	// Gossip shares the counts of online calls with the peers.
	Gossip gossip
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
func (t *Tracker) Begin(name string, c *call.Call) {
	if c.Batch {
		n := t.count(&t.batch, name, 1)
		t.Gossip.BusyBatch(name, n)
		t.Picker.SetBatch(name, n)
		t.BatchLimiter.SetBatch(name, n)
		return
	}
	t.Gossip.Busy(name, t.count(&t.online, name, 1))
	if t.BatchLimiter.OnlineStarted(name, t.Timer.Now()) > 0 {
		t.Recheck()
	}
}

// First records the time to the first byte of an answer, beside the time that its caller had left when the call was sent.
func (t *Tracker) First(name string, c *call.Call, d time.Duration) {
	if c.Batch {
		return
	}
	n := t.Timer.Now()
	by := c.Deadline
	if !c.FirstBy.IsZero() && c.FirstBy.Before(by) {
		by = c.FirstBy
	}
	t.BatchLimiter.ObserveFirstToken(name, d, by.Sub(n)+d, n)
}

// Gap records the time between two events of a stream, beside that after which its caller leaves.
func (t *Tracker) Gap(name string, c *call.Call, d time.Duration) {
	if !c.Batch {
		t.BatchLimiter.ObserveBetweenTokens(name, d, c.Patience, t.Timer.Now())
	}
}

// End removes an attempt from the counts.
func (t *Tracker) End(name string, c *call.Call) {
	if c.Batch {
		n := t.count(&t.batch, name, -1)
		t.Gossip.BusyBatch(name, n)
		t.Picker.SetBatch(name, n)
		t.BatchLimiter.SetBatch(name, n)
		return
	}
	t.Gossip.Busy(name, t.count(&t.online, name, -1))
	t.BatchLimiter.OnlineEnded(name, t.Timer.Now())
}

// Batch returns the number of batch attempts that this host has in flight at an upstream.
func (t *Tracker) Batch(name string) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.batch[name]
}

// Total returns the number of attempts that this host has in flight.
func (t *Tracker) Total() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	n := 0
	for _, m := range []map[string]int{t.online, t.batch} {
		for _, c := range m {
			n += c
		}
	}
	return n
}

// Refresh updates the peers' counts of the named upstreams.
func (t *Tracker) Refresh(names []string) {
	cancel := 0
	for _, n := range names {
		p := t.Gossip.Peers(n)
		t.Picker.SetPeerRequests(n, p, t.Timer.Now())
		t.Picker.SetPeerBatch(n, t.Gossip.PeersBatch(n))
		cancel += t.BatchLimiter.SetPeerOnline(n, p, t.Timer.Now())
	}
	if cancel > 0 {
		t.Recheck()
	}
}

func (t *Tracker) count(m *map[string]int, name string, by int) int {
	t.mu.Lock()
	defer t.mu.Unlock()
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
