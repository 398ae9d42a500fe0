package picker

import (
	"slices"
	"strings"
	"time"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/spillover"
)

// tombstoneTTL is how long a removed upstream is remembered.
const tombstoneTTL = 10 * time.Minute

type poolKey struct {
	service string
	model   string
	// version is the software version, empty for the pool of all versions.
	version string
}

// pool holds the upstreams that can serve one model of one service.
type pool struct {
	all       []*member
	domains   map[string][]*member
	median    float64
	latencies []float64
	// limited says that an upstream of the pool names a rate limit.
	limited bool
	// mixed says that some of them do, such as the cold ones, and others don't.
	mixed bool
	// paced says that an upstream of the pool reports its pace; medianWork is the median of work.
	paced      bool
	medianWork float64
	// spill decides on leaving the failure domain, last at spilledAt; nil until it is called for.
	spill     *spillover.Spillover
	spilledAt time.Time
	// preferred are the preferred upstreams, none unless Picker.Preferred is set.
	preferred preference
}

// tombstone remembers a removed upstream and the requests that still run on it.
type tombstone struct {
	incarnation uint64
	leaving     bool
	own         int
	at          time.Time
}

// SetUpstreams replaces the known upstreams; leaving ones get no further requests.
func (c *Picker) SetUpstreams(list []upstream.Upstream, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	initial := len(c.members) == 0
	present := make(map[string]bool, len(list))
	for _, u := range list {
		if c.setUpstream(u, now, initial) {
			present[u.Name] = true
		}
	}
	for name, m := range c.members {
		if !present[name] {
			c.remove(name, m, now)
		}
	}
	for name, t := range c.tombstones {
		if now.Sub(t.at) > tombstoneTTL {
			delete(c.tombstones, name)
		}
	}
	c.rebuildPools()
}

// Reopen applies a change of Gate. Upstreams that may get work again warm up as new ones do, since they may have gone cold.
func (c *Picker) Reopen(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.Gate == nil {
		return
	}
	c.opened = true
	for _, m := range c.members {
		closed := !c.Gate.Open(m.upstream)
		if m.closed && !closed {
			m.added, m.warming = now, true
		}
		m.closed = closed
	}
	c.rebuildPools()
}

// open reports whether an upstream may get work, as far as its own state goes.
func (c *Picker) open(m *member) bool {
	return !m.upstream.Leaving && (c.Gate == nil || c.Gate.Open(m.upstream))
}

// setUpstream adds or updates one upstream and reports whether it is known afterwards; upstreams of the initial list
// do not warm up.
func (c *Picker) setUpstream(u upstream.Upstream, now time.Time, initial bool) bool {
	t, wasRemoved := c.tombstones[u.Name]
	if wasRemoved && (u.Incarnation < t.incarnation || t.leaving && u.Incarnation == t.incarnation) {
		return false
	}
	delete(c.tombstones, u.Name)
	m, ok := c.members[u.Name]
	if ok && u.Incarnation < m.upstream.Incarnation {
		return true
	}
	if ok && u.Incarnation == m.upstream.Incarnation {
		u.Leaving = u.Leaving || m.upstream.Leaving
		m.applyAnnouncement(u)
		return true
	}
	n := &member{added: now, warming: !initial}
	n.applyAnnouncement(u)
	n.closed = c.opened && !c.Gate.Open(u)
	if wasRemoved {
		n.own = t.own
	}
	if ok {
		n.own = m.own
		n.peers = m.peers
		c.Affinity.Forget(u.Name)
	}
	c.members[u.Name] = n
	c.Ejection.Add(u.Name, u.Service)
	return true
}

func (c *Picker) remove(name string, m *member, now time.Time) {
	c.tombstones[name] = &tombstone{
		incarnation: m.upstream.Incarnation,
		leaving:     m.upstream.Leaving,
		own:         m.own,
		at:          now,
	}
	c.Ejection.Remove(name)
	c.Affinity.Forget(name)
	delete(c.members, name)
}

// Serves reports whether any upstream that takes new work meets a demand, however busy it is.
func (c *Picker) Serves(d demand.Demand) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	_, ok := c.pools[poolOf(&d)]
	return ok
}

func poolOf(d *demand.Demand) poolKey {
	return poolKey{service: d.Service, model: d.Model, version: d.Version}
}

// rebuildPools rebuilds all pools; its cost grows with the upstreams and their models.
func (c *Picker) rebuildPools() {
	old := c.pools
	c.pools = make(map[poolKey]*pool, len(old))
	for _, m := range c.members {
		if !c.open(m) {
			continue
		}
		for _, model := range m.models {
			c.addToPool(m, model)
		}
	}
	for k, p := range c.pools {
		p.sort()
		if o, ok := old[k]; ok {
			p.median = o.median
			p.paced, p.medianWork = o.paced, o.medianWork
			p.spill, p.spilledAt = o.spill, o.spilledAt
			p.preferred = o.preferred
		}
		c.orderPreferred(p)
	}
}

func (c *Picker) addToPool(m *member, model string) {
	c.addToPoolOf(m, poolKey{service: m.upstream.Service, model: model})
	if v := m.upstream.Version; v != "" {
		c.addToPoolOf(m, poolKey{service: m.upstream.Service, model: model, version: v})
	}
}

func (c *Picker) addToPoolOf(m *member, k poolKey) {
	p, ok := c.pools[k]
	if !ok {
		p = &pool{domains: make(map[string][]*member)}
		c.pools[k] = p
	}
	p.all = append(p.all, m)
	d := m.upstream.FailureDomain
	p.domains[d] = append(p.domains[d], m)
}

func (p *pool) sort() {
	slices.SortFunc(p.all, byName)
	for _, l := range p.domains {
		slices.SortFunc(l, byName)
	}
}

func (p *pool) updateMedian() {
	p.latencies = p.latencies[:0]
	for _, m := range p.all {
		if m.latency > 0 {
			p.latencies = append(p.latencies, m.latency)
		}
	}
	if len(p.latencies) == 0 {
		return
	}
	slices.Sort(p.latencies)
	p.median = p.latencies[len(p.latencies)/2]
}

func byName(a, b *member) int {
	return strings.Compare(a.upstream.Name, b.upstream.Name)
}
