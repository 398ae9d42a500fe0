package picker

import (
	"time"

	"siskinrun/internal/data/cache"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/outcome"
)

const (
	// countsInterval is the time between two times at which the counts of other hosts are applied, and limitedCountsInterval
	// that while upstreams name rate limits: all hosts then send to the few slots that need no permit.
	countsInterval        = 50 * time.Millisecond
	limitedCountsInterval = 10 * time.Millisecond
)

// CountsInterval returns how often the counts of other hosts are to be applied.
func CountsInterval(limited bool) time.Duration {
	if limited {
		return limitedCountsInterval
	}
	return countsInterval
}

// Started counts a request that was sent to an upstream.
func (c *Picker) Started(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.members[name]; ok {
		m.own++
		m.history.Set(m.knownRequests(), c.latest)
	}
}

// Finished records the end of a request; latency is the time to the first byte of its answer.
func (c *Picker) Finished(name string, o outcome.Outcome, latency time.Duration, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.tombstones[name]; ok {
		t.own = max(t.own-1, 0)
	}
	m, ok := c.members[name]
	if !ok {
		return
	}
	m.own = max(m.own-1, 0)
	m.history.Set(m.knownRequests(), at)
	c.Ejection.Observe(name, o, latency, at)
	if o == outcome.Broken || o == outcome.Unreachable {
		m.brokenAt = at
	}
	if o == outcome.Unreachable {
		m.refusedAt = at
	}
	if o == outcome.Succeeded && latency > 0 {
		m.observeLatency(latency, at)
		m.observeWork(latency, at)
	}
}

// SetPeerRequests sets the number of online requests that other hosts have running on an upstream.
func (c *Picker) SetPeerRequests(name string, n int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[name]
	if !ok {
		return
	}
	if n > m.peers {
		m.addPrompts(float64(n-m.peers), now)
	}
	m.peers = n
	m.history.Set(m.knownRequests(), now)
}

// SetPeerBatch sets the number of batch requests that other hosts have running on an upstream.
func (c *Picker) SetPeerBatch(name string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.members[name]; ok {
		m.peerBatch = n
		m.history.Set(m.knownRequests(), c.latest)
	}
}

// SetBatch sets the number of batch requests that this host runs on an upstream; online requests displace them.
func (c *Picker) SetBatch(name string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.members[name]; ok {
		m.batch = n
		m.history.Set(m.knownRequests(), c.latest)
	}
}

// Report applies a load report of an upstream; repeated and older reports are ignored.
func (c *Picker) Report(r loadreport.Report, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[r.Upstream]
	if !ok || r.Incarnation != m.upstream.Incarnation {
		return
	}
	c.advance(at)
	c.Ejection.MarkAlive(r.Upstream, at)
	m.applyReport(r, at, c.latest)
}

// ApplyCacheEvent applies a prefix cache event of an engine.
func (c *Picker) ApplyCacheEvent(e cache.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[e.Upstream]
	if ok && e.Incarnation == m.upstream.Incarnation {
		c.Affinity.Apply(e)
	}
}

// OwnRequests returns the number of online requests that this host has running on an upstream.
func (c *Picker) OwnRequests(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.members[name]; ok {
		return m.own
	}
	return 0
}
