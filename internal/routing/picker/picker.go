package picker

import (
	"math/rand/v2"
	"sync"
	"time"

	"siskinrun/internal/data/cache"
	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/affinity"
	"siskinrun/internal/routing/ejection"
)

const (
	// DefaultPrefixWeight is the default cost of an entirely uncached prompt, as a share of the slots.
	DefaultPrefixWeight = 0.5
	// DefaultLocalityWeight is the default cost of another failure domain, as a share of the slots.
	DefaultLocalityWeight = 0.1
	// DefaultPromptWeight is the default cost of one prompt being computed, as a share of the slots.
	DefaultPromptWeight = 0.3
	// DefaultQueueWeight is the default extra cost of a request that would wait, relative to one that would run.
	DefaultQueueWeight = 3.0
	// DefaultBatchWeight is the default cost of batch work in all slots, as a share of the slots.
	DefaultBatchWeight = 0.7
	// DefaultDisplacementWeight is the default cost of stopping a batch run for the request, as a share of the slots.
	DefaultDisplacementWeight = 0.4
	// DefaultLimitWeight is the default cost of an upstream that has used all of its reserve under a rate limit, as a share of
	// the slots.
	DefaultLimitWeight = 2.0
	// DefaultWarmUp is the default time in which a new upstream reaches its full number of slots.
	DefaultWarmUp = 5 * time.Second
	// DefaultReportTTL is the default time after which a report is ignored.
	DefaultReportTTL = 4 * time.Second
)

// sweepInterval is the minimum time between two updates of ejections and median latencies.
const sweepInterval = 250 * time.Millisecond

// Picker picks upstreams; it is safe for concurrent use.
//
// A pick costs the same at any number of upstreams: it scores a bounded sample and
// the upstreams that probably have the prefix cached.
type Picker struct {
	// PrefixWeight is the cost of an entirely uncached prompt, as a share of the slots.
	PrefixWeight float64
	// LocalityWeight is the cost of another failure domain, as a share of the slots.
	LocalityWeight float64
	// PromptWeight is the cost of one prompt being computed, as a share of the slots.
	PromptWeight float64
	// QueueWeight is the extra cost of a request that would wait, relative to one that would run.
	QueueWeight float64
	// BatchWeight is the cost of batch work in all slots, as a share of the slots.
	BatchWeight float64
	// DisplacementWeight is the cost of stopping a batch run for the request, as a share of the slots.
	DisplacementWeight float64
	// LimitWeight is the cost of an upstream that has used all of its reserve under a rate limit, as a share of the slots.
	LimitWeight float64
	// WarmUp is the time in which a new upstream reaches its full number of slots.
	WarmUp time.Duration
	// ReportTTL is the time after which a report is ignored.
	ReportTTL time.Duration
	// Ejection ejects failing, silent and slow upstreams.
	Ejection *ejection.Detector
	// Affinity indexes which upstreams probably have which prefixes cached.
	Affinity *affinity.Index
	// Limits, if set, tells which upstreams take no request now.
	Limits limits

	mu         sync.Mutex
	random     *rand.Rand
	members    map[string]*member
	tombstones map[string]*tombstone
	pools      map[poolKey]*pool
	lastSweep  time.Time
	latest     time.Time
	candidates [maxCandidates]candidate
}

// NewPicker returns a Picker without upstreams; seed seeds its random samples.
func NewPicker(seed uint64) *Picker {
	return &Picker{
		PrefixWeight:   DefaultPrefixWeight,
		LocalityWeight: DefaultLocalityWeight,
		PromptWeight:   DefaultPromptWeight,
		QueueWeight:    DefaultQueueWeight,
		BatchWeight:    DefaultBatchWeight,

		DisplacementWeight: DefaultDisplacementWeight,
		LimitWeight:        DefaultLimitWeight,

		WarmUp:     DefaultWarmUp,
		ReportTTL:  DefaultReportTTL,
		Ejection:   ejection.NewDetector(),
		Affinity:   affinity.NewIndex(),
		random:     rand.New(rand.NewPCG(seed, seed)),
		members:    make(map[string]*member),
		tombstones: make(map[string]*tombstone),
		pools:      make(map[poolKey]*pool),
	}
}

// Pick returns the upstream for a request, or false if no upstream is available.
func (c *Picker) Pick(now time.Time, d demand.Demand) (upstream.Upstream, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(now)
	c.sweep(now)
	p, ok := c.pools[poolOf(&d)]
	if !ok {
		return upstream.Upstream{}, false
	}
	m := c.probe(p, &d, now)
	if m == nil {
		m = c.best(p, c.sample(p, &d), &d, now)
	}
	if m == nil {
		m = c.scan(p, &d, now)
	}
	if m == nil {
		return upstream.Upstream{}, false
	}
	if d.Model != "" {
		c.Affinity.RecordSent(m.upstream.Name, d.PrefixHashes)
	}
	return m.upstream, true
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
	if o == outcome.Succeeded && latency > 0 {
		m.observeLatency(latency, at)
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

// advance keeps the latest time that any caller passed.
func (c *Picker) advance(now time.Time) {
	if now.After(c.latest) {
		c.latest = now
	}
}

func (c *Picker) sweep(now time.Time) {
	if now.Sub(c.lastSweep) < sweepInterval {
		return
	}
	c.lastSweep = now
	c.Ejection.Sweep(now)
	for _, p := range c.pools {
		p.updateMedian()
		c.updateLimited(p)
	}
}
