package choose

import (
	"math/rand/v2"
	"sync"
	"time"

	"siskinrun/internal/data/cache"
	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/report"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/affinity"
	"siskinrun/internal/routing/eject"
)

const (
	// PrefixWeightDefault is the default share of the slots that a whole cached prompt is worth.
	PrefixWeightDefault = 0.5
	// LocalityWeightDefault is the default share of the slots that the own failure domain is worth.
	LocalityWeightDefault = 0.1
	// PromptWeightDefault is the default share of the slots that a whole prompt weighs while it is computed.
	PromptWeightDefault = 0.3
	// QueueWeightDefault is the default price of a request that would wait against one that would run.
	QueueWeightDefault = 3.0
	// WarmUpDefault is the default time in which a new upstream reaches its full share.
	WarmUpDefault = 5 * time.Second
	// ReportLifeDefault is the default time after which a report counts for nothing.
	ReportLifeDefault = 4 * time.Second
)

const sweepInterval = 250 * time.Millisecond

// Choose picks upstreams; it is safe for concurrent use.
//
// A pick costs the same at any number of upstreams: it looks at a bounded sample
// and at those that probably hold the prefix.
type Choose struct {
	// PrefixWeight is the share of the slots that a whole cached prompt is worth.
	PrefixWeight float64
	// LocalityWeight is the share of the slots that the own failure domain is worth.
	LocalityWeight float64
	// PromptWeight is the share of the slots that a whole prompt weighs while it is computed.
	PromptWeight float64
	// QueueWeight is the price of a request that would wait against one that would run.
	QueueWeight float64
	// WarmUp is the time in which a new upstream reaches its full share.
	WarmUp time.Duration
	// ReportLife is the time after which a report counts for nothing.
	ReportLife time.Duration
	// Eject keeps failing, silent and slow upstreams out.
	Eject *eject.Eject
	// Affinity knows which upstream probably holds which prefix.
	Affinity *affinity.Affinity

	mu      sync.Mutex
	random  *rand.Rand
	members map[string]*member
	gone    map[string]*tombstone
	pools   map[poolKey]*pool
	swept   time.Time
	latest  time.Time
	picks   [candidatesMax]candidate
}

// NewChoose returns a Choose without upstreams that draws its samples from seed.
func NewChoose(seed uint64) *Choose {
	return &Choose{
		PrefixWeight:   PrefixWeightDefault,
		LocalityWeight: LocalityWeightDefault,
		PromptWeight:   PromptWeightDefault,
		QueueWeight:    QueueWeightDefault,
		WarmUp:         WarmUpDefault,
		ReportLife:     ReportLifeDefault,
		Eject:          eject.NewEject(),
		Affinity:       affinity.NewAffinity(),
		random:         rand.New(rand.NewPCG(seed, seed)),
		members:        make(map[string]*member),
		gone:           make(map[string]*tombstone),
		pools:          make(map[poolKey]*pool),
	}
}

// Pick returns the upstream that should get a request, or false if none may.
func (c *Choose) Pick(now time.Time, d demand.Demand) (upstream.Upstream, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.see(now)
	c.sweep(now)
	p, ok := c.pools[poolKey{d.Service, d.Model}]
	if !ok {
		return upstream.Upstream{}, false
	}
	m := c.probe(p, &d, now)
	if m == nil {
		m = c.best(c.sample(p, &d), &d, now)
	}
	if m == nil {
		m = c.scan(p, &d, now)
	}
	if m == nil {
		return upstream.Upstream{}, false
	}
	if d.Model != "" {
		c.Affinity.Guess(m.upstream.Name, d.Prefix)
	}
	return m.upstream, true
}

// Started counts a request that was sent to an upstream.
func (c *Choose) Started(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.members[name]; ok {
		m.own++
		m.total.Set(m.counted(), c.latest)
	}
}

// Finished notes the end of a request; the latency is the time to the first byte of its answer.
func (c *Choose) Finished(name string, o outcome.Outcome, latency time.Duration, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if t, ok := c.gone[name]; ok {
		t.own = max(t.own-1, 0)
	}
	m, ok := c.members[name]
	if !ok {
		return
	}
	m.own = max(m.own-1, 0)
	m.total.Set(m.counted(), at)
	c.Eject.Observe(name, o, latency, at)
	if o == outcome.Succeeded && latency > 0 {
		m.observe(latency, at)
	}
}

// Peers sets the number of online requests that the other hosts have running on an upstream.
func (c *Choose) Peers(name string, n int, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[name]
	if !ok {
		return
	}
	if n > m.peers {
		m.add(float64(n-m.peers), now)
	}
	m.peers = n
	m.total.Set(m.counted(), now)
}

// Batch sets the number of batch requests that run on an upstream, which give way to online ones.
func (c *Choose) Batch(name string, n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.members[name]; ok {
		m.batch = n
		m.total.Set(m.counted(), c.latest)
	}
}

// Report takes in what an upstream told of its load; one that was taken in before changes nothing.
func (c *Choose) Report(r report.Report, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[r.Upstream]
	if !ok || r.Incarnation != m.upstream.Incarnation {
		return
	}
	c.see(at)
	c.Eject.Heard(r.Upstream, at)
	m.report(r, at, c.latest)
}

// Cache takes in what an engine told of its prefix cache.
func (c *Choose) Cache(e cache.Event) {
	c.mu.Lock()
	defer c.mu.Unlock()
	m, ok := c.members[e.Upstream]
	if ok && e.Incarnation == m.upstream.Incarnation {
		c.Affinity.Apply(e)
	}
}

// Own returns the number of online requests that this host has running on an upstream.
func (c *Choose) Own(name string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if m, ok := c.members[name]; ok {
		return m.own
	}
	return 0
}

// Unreachable returns the upstreams to which no connection came about; they get no work until Reached is called.
func (c *Choose) Unreachable() []upstream.Upstream {
	c.mu.Lock()
	defer c.mu.Unlock()
	var l []upstream.Upstream
	for _, n := range c.Eject.Unreachable() {
		l = append(l, c.members[n].upstream)
	}
	return l
}

// Reachable reports whether connections to an upstream come about, as far as this host knows.
func (c *Choose) Reachable(name string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.Eject.Reachable(name)
}

// Slowness returns how many times as long as the median of its service an upstream takes, 1 if it is not known.
func (c *Choose) Slowness(name string, now time.Time) float64 {
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
	return m.ratio(now, p.median)
}

// Heard notes a sign of life of an upstream, such as an announcement.
func (c *Choose) Heard(name string, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Eject.Heard(name, at)
}

// Reached notes that a connection to an upstream came about.
func (c *Choose) Reached(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.Eject.Reached(name)
}

// see keeps the latest time that any call told.
func (c *Choose) see(now time.Time) {
	if now.After(c.latest) {
		c.latest = now
	}
}

func (c *Choose) sweep(now time.Time) {
	if now.Sub(c.swept) < sweepInterval {
		return
	}
	c.swept = now
	c.Eject.Sweep(now)
	for _, p := range c.pools {
		p.measure()
	}
}
