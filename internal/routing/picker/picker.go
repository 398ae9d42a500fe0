package picker

import (
	"math/rand/v2"
	"sync"
	"time"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/affinity"
	"siskinrun/internal/routing/ejection"
	"siskinrun/internal/routing/subset"
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
	// DefaultGatewayWeight is the default cost of an upstream that this host reaches only through another one, as a share of
	// the slots.
	DefaultGatewayWeight = 0.5
	// DefaultWarmUp is the default time in which a new upstream reaches its full number of slots.
	DefaultWarmUp = 5 * time.Second
	// DefaultReportTTL is the default time after which a report is ignored.
	DefaultReportTTL = 4 * time.Second
)

// sweepInterval is the minimum time between two updates of ejections and median latencies.
const sweepInterval = 250 * time.Millisecond

// paths tells which upstreams this host reaches by itself.
type paths interface {
	Direct(name string) bool
}

// gate tells which upstreams may get work.
type gate interface {
	Open(u upstream.Upstream) bool
}

// Picker picks upstreams; it is safe for concurrent use.
//
// A pick costs the same at any number of upstreams: it scores a bounded sample and
// the upstreams that probably have the prefix cached.
type Picker struct {
	// PrefixWeight is the cost of an entirely uncached prompt, as a share of the slots.
	PrefixWeight float64
	// LocalityWeight is the cost of another failure domain, as a share of the slots.
	LocalityWeight float64
	// DomainTraffic, if set, is the cost of a gigabyte between failure domains in calls that are worth as much. It replaces
	// LocalityWeight in pools whose upstreams report their pace.
	DomainTraffic *float64
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
	// GatewayWeight is the cost of an upstream that this host reaches only through another one, as a share of the slots.
	GatewayWeight float64
	// WarmUp is the time in which a new upstream reaches its full number of slots.
	WarmUp time.Duration
	// ReportTTL is the time after which a report is ignored.
	ReportTTL time.Duration
	// VersionTTL is the time from an upstream's announcement for which its version is certain, zero for no limit.
	VersionTTL time.Duration
	// HeardAt, if set, returns when this host last heard the news of another one, the zero time if there is none.
	HeardAt func() time.Time
	// Ejection ejects failing, silent and slow upstreams.
	Ejection *ejection.Detector
	// Affinity indexes which upstreams probably have which prefixes cached.
	Affinity *affinity.Index
	// Limits, if set, tells which upstreams take no request now.
	Limits limits
	// RunsWhole, if set, reports whether an upstream runs batch items whole: calls then go to a free slot first. It must not
	// call the picker.
	RunsWhole func(name string) bool
	// Gate, if set, tells which upstreams may get work; after each change of it Reopen must be called.
	Gate gate
	// Preferred, if set, chooses the upstreams that this host prefers for calls whose prompt no upstream holds, so that fewer
	// connections are opened.
	Preferred *subset.Chooser
	// Paths, if set, tells which upstreams this host reaches by itself.
	Paths paths

	mu sync.Mutex
	// source is the state of random.
	source     *rand.PCG
	random     *rand.Rand
	members    map[string]*member
	tombstones map[string]*tombstone
	pools      map[poolKey]*pool
	lastSweep  time.Time
	latest     time.Time
	candidates [maxCandidates]candidate
	// chosenDomain is the failure domain that is chosen for the present pick.
	chosenDomain string
	// departures counts the calls by failure domain where leaving is decided; spillReason is the latest reason.
	departures  map[string]int64
	spillReason string
	// preferredCalls and otherCalls count the calls of pools with a preference, by whether they went to a preferred upstream.
	preferredCalls, otherCalls int64
	// opened says that Reopen was called. Before, a closed gate only means that this host knows no configuration yet.
	opened bool
}

// NewPicker returns a Picker without upstreams; seed seeds its random samples.
func NewPicker(seed uint64) *Picker {
	s := rand.NewPCG(seed, seed)
	return &Picker{
		PrefixWeight:   DefaultPrefixWeight,
		LocalityWeight: DefaultLocalityWeight,
		PromptWeight:   DefaultPromptWeight,
		QueueWeight:    DefaultQueueWeight,
		BatchWeight:    DefaultBatchWeight,

		DisplacementWeight: DefaultDisplacementWeight,
		LimitWeight:        DefaultLimitWeight,
		GatewayWeight:      DefaultGatewayWeight,

		WarmUp:     DefaultWarmUp,
		ReportTTL:  DefaultReportTTL,
		Ejection:   ejection.NewDetector(),
		Affinity:   affinity.NewIndex(),
		source:     s,
		random:     rand.New(s),
		members:    make(map[string]*member),
		tombstones: make(map[string]*tombstone),
		pools:      make(map[poolKey]*pool),
		departures: make(map[string]int64),
	}
}

// Pick returns the upstream for a request, or false if no upstream is available.
func (c *Picker) Pick(now time.Time, d demand.Demand) (upstream.Upstream, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	v, ok := c.choose(now, &d, nil)
	if !ok {
		return upstream.Upstream{}, false
	}
	m := v.member
	if v.scored {
		m.addPrompts(v.uncachedPrompts(&d), now)
	}
	v.pool.preferred.calls++
	c.countPreferred(v.pool, m)
	if c.spills(v.pool) {
		c.departures[m.upstream.FailureDomain]++
	}
	if d.Model != "" {
		c.Affinity.RecordSent(m.upstream.Name, d.PrefixHashes)
	}
	return m.upstream, true
}

// chosen is the upstream that choose has found.
type chosen struct {
	candidate
	pool *pool
	// scored says that the upstream is the best of the candidates, probe that it is ejected and due a probe.
	scored bool
	probe  bool
}

// choose decides on the upstream for a request. It changes nothing that stands for the request itself: a caller that sends it
// records that. If stage is set, it is told the candidates after each step that leaves some out.
func (c *Picker) choose(now time.Time, d *demand.Demand, stage func(name string, list []candidate)) (v chosen, ok bool) {
	c.advance(now)
	c.sweep(now)
	p, ok := c.pools[poolOf(d)]
	if !ok {
		return v, false
	}
	v.pool = p
	v.member = c.probe(p, d, now)
	c.chosenDomain = d.FailureDomain
	if c.spills(p) {
		c.chosenDomain = c.target(p, d, now)
	}
	if v.member != nil {
		v.probe = true
		return v, true
	}
	if stage == nil {
		stage = func(string, []candidate) {}
	}
	l := c.sample(p, d, now)
	stage(stageSampled, l)
	l = c.sparing(p, l, d, now)
	stage(stageSparing, l)
	l = c.vacant(p, l, d, now)
	stage(stageVacant, l)
	if v.candidate = c.best(p, l, d, now); v.member != nil {
		v.scored = true
		return v, true
	}
	v.member = c.scan(p, d, now)
	return v, v.member != nil
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
		p.updatePaced(now)
		c.updateLimited(p)
		c.updatePreferred(p, now)
	}
}
