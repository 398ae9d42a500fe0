package picker

import (
	"time"

	"siskinrun/internal/data/upstream"
)

// Unreachable returns the upstreams to which connections fail; they get no requests until MarkReachable is called.
func (c *Picker) Unreachable() []upstream.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	var l []upstream.Upstream
	for _, n := range c.Ejection.Unreachable() {
		l = append(l, c.members[n].upstream)
	}
	return l
}

// Reachable reports whether connections to an upstream succeed, as far as this host knows.
func (c *Picker) Reachable(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Ejection.Reachable(name)
}

// MarkAlive records evidence that an upstream is alive, such as an announcement.
func (c *Picker) MarkAlive(name string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Ejection.MarkAlive(name, at)
	if m, ok := c.members[name]; ok && at.After(m.announcedAt) {
		m.announcedAt = at
	}
}

// MarkReachable records a successful connection to an upstream.
func (c *Picker) MarkReachable(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Ejection.MarkReachable(name)
}

// LatencyRatio returns an upstream's latency relative to the median of its service, or 1 if it is unknown.
func (c *Picker) LatencyRatio(name string, now time.Time) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[name]
	if !ok {
		return 1
	}
	p, ok := c.pools[poolKey{service: m.upstream.Service}]
	if !ok {
		return 1
	}
	return m.latencyRatio(now, p.median)
}
