package membership

import (
	"time"

	"siskinrun/internal/data/gossipmessage"
)

type count struct {
	origin    gossipmessage.Origin
	createdAt time.Time
	total
}

// total is a number of requests at one upstream.
type total struct {
	online int
	batch  int
}

// SetInFlight sets the number of online requests that this host has in flight at an upstream.
func (m *Membership) SetInFlight(now time.Time, name string, n int) {
	t := m.ownTotal(name)
	t.online = n
	m.setOwnTotal(now, name, t)
}

// SetBatch sets the number of batch requests that this host has in flight at an upstream.
func (m *Membership) SetBatch(now time.Time, name string, n int) {
	t := m.ownTotal(name)
	t.batch = n
	m.setOwnTotal(now, name, t)
}

// ownTotal returns the requests that this host has in flight at an upstream.
func (m *Membership) ownTotal(name string) total {
	if c := m.ownCounts[name]; c != nil {
		return c.total
	}
	return total{}
}

func (m *Membership) setOwnTotal(now time.Time, name string, t total) {
	c := m.ownCounts[name]
	if c == nil && t == (total{}) || c != nil && c.total == t && now.Sub(c.createdAt) < countRenewalAge {
		return
	}
	m.ownCounts[name] = &count{origin: m.nextOrigin(), createdAt: now, total: t}
	m.changedCounts[name] = struct{}{}
	if m.occupancies[name] != nil {
		m.changedLoads[name] = struct{}{}
	}
}

// renewOwnCounts gives the counts of this host a new origin before they expire at peers. In a large fleet, where no answer
// carries them, they are pushed again.
func (m *Membership) renewOwnCounts(now time.Time) {
	for n, c := range m.ownCounts {
		if now.Sub(c.createdAt) < countRenewalAge {
			continue
		}
		if c.total == (total{}) {
			delete(m.ownCounts, n)
			continue
		}
		c.origin = m.nextOrigin()
		c.createdAt = now
		if !m.Small() {
			m.changedCounts[n] = struct{}{}
		}
	}
}

func (m *Membership) applyCount(sent time.Time, n gossipmessage.Count) {
	if n.Origin.Host == m.name || n.Age < 0 || n.InFlight < 0 || n.Batch < 0 {
		return
	}
	m.applyPace(sent, n.Upstream, n.Pace, n.PaceAge)
	l := m.counts[n.Upstream]
	if l == nil {
		l = map[string]*count{}
		m.counts[n.Upstream] = l
	}
	old := l[n.Origin.Host]
	if old != nil && !originAfter(n.Origin, old.origin) {
		return
	}
	c := &count{origin: n.Origin, createdAt: sent.Add(-n.Age), total: total{n.InFlight, n.Batch}}
	l[n.Origin.Host] = c
	if old != nil {
		m.adjustTotal(n.Upstream, total{-old.online, -old.batch})
	}
	m.adjustTotal(n.Upstream, c.total)
}

// adjustTotal changes the sum of the peers' counts at an upstream.
func (m *Membership) adjustTotal(upstream string, by total) {
	if by == (total{}) {
		return
	}
	t := m.peerTotals[upstream]
	m.peerTotals[upstream] = total{t.online + by.online, t.batch + by.batch}
	m.changedLoads[upstream] = struct{}{}
}

func (m *Membership) addCounts(now time.Time, a *gossipmessage.Message, lacks func(gossipmessage.Origin) bool) {
	add := func(n string, c *count) {
		if lacks(c.origin) && now.Sub(c.createdAt) <= CountExpiry {
			a.Counts = append(a.Counts, c.news(now, n))
		}
	}
	for n, c := range m.ownCounts {
		add(n, c)
	}
	for n, l := range m.counts {
		for _, c := range l {
			add(n, c)
		}
	}
}

func (c *count) news(now time.Time, upstream string) gossipmessage.Count {
	return gossipmessage.Count{Origin: c.origin, Age: now.Sub(c.createdAt), Upstream: upstream, InFlight: c.online, Batch: c.batch}
}
