package reachability

import (
	"maps"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"siskinrun/internal/base/host"
	"siskinrun/internal/data/upstream"
)

const (
	// proofTTL is how long a connection proves that its upstream is reached and that this host has links, or a failed one the
	// opposite.
	proofTTL = 300 * time.Millisecond
	// askSpacing is the least time between two rounds of questions, minAskDelay the first time after which they are repeated while
	// no host helps, and refreshDelay the last one and that while some do.
	askSpacing   = 100 * time.Millisecond
	minAskDelay  = 300 * time.Millisecond
	refreshDelay = time.Second
	// searchSpacing is the least time between two searches among many hosts.
	searchSpacing = 30 * time.Second
	// doubtTTL is how long a connection that takes long puts its path in doubt.
	doubtTTL = 300 * time.Millisecond
	// freshTime is how long after the loss of a path others may be about to be lost.
	freshTime = time.Second
	// minSuspicious is the number of lost paths from which on the others are suspect.
	minSuspicious = 2
	// gatewayTTL is how long the answer of a gateway holds.
	gatewayTTL = 3 * time.Second
	// avoidTime is how long a host that was of no use as a gateway is asked last, and avoidCost its cost meanwhile, as remoteCost.
	avoidTime = time.Second
	avoidCost = 1000
	// remoteCost is the cost of a gateway in another failure domain, in calls that it has in flight.
	remoteCost = 8
	// cutOffShare is the share of the upstreams of a service from which on a host that reaches them only through gateways
	// counts as cut off from the service.
	cutOffShare = 0.5
)

// Table holds the paths of one host; it is safe for concurrent use.
type Table struct {
	// FailureDomain is the failure domain of this host.
	FailureDomain string

	// troubled says that a path is lost or was in doubt, so that the lock is needed.
	troubled atomic.Bool

	mu       sync.Mutex
	random   *rand.Rand
	paths    map[string]*path
	gateways map[string]*gateway
	domains  map[string]string
	sizes    map[string]int
	cutOff   map[string]bool
	// lost holds the paths that are lost.
	lost map[string]*path
	// doubtful holds the paths that are in doubt or were.
	doubtful map[string]*path
	// askedAt is when other hosts were last asked, askAt when they are asked again, and askDelay the time from then to the next.
	askedAt, askAt time.Time
	askDelay       time.Duration
	// found is the number of lost paths to which gateways were known after the last round of questions.
	found int
	// news says that a host has had links again since the last round of questions began.
	news bool
	// searchedAt is when many hosts were last asked.
	searchedAt time.Time
	// linkedAt is when a connection to any upstream last came about.
	linkedAt time.Time
	// troubledAt is when a path was last lost or came in doubt.
	troubledAt time.Time
}

// NewTable returns a table without upstreams; seed seeds its random choices.
func NewTable(domain string, seed uint64) *Table {
	return &Table{
		FailureDomain: domain,

		random:   rand.New(rand.NewPCG(seed, seed)),
		paths:    map[string]*path{},
		gateways: map[string]*gateway{},
		domains:  map[string]string{},
		sizes:    map[string]int{},
		cutOff:   map[string]bool{},
		askDelay: minAskDelay,
		lost:     map[string]*path{},
		doubtful: map[string]*path{},
	}
}

// SetUpstreams sets the upstreams that there are. One that has moved to another address begins anew.
func (t *Table) SetUpstreams(l []upstream.Upstream) {
	t.mu.Lock()
	defer t.mu.Unlock()
	old := t.paths
	t.paths = make(map[string]*path, len(l))
	clear(t.sizes)
	for _, u := range l {
		t.sizes[u.Service]++
		p := old[u.Name]
		if p == nil || p.service != u.Service || p.address != u.Address {
			p = &path{service: u.Service, address: u.Address, gateways: map[string]time.Time{}}
			delete(t.lost, u.Name)
			delete(t.doubtful, u.Name)
		}
		t.paths[u.Name] = p
	}
	gone := func(n string, _ *path) bool { return t.paths[n] == nil }
	maps.DeleteFunc(t.lost, gone)
	maps.DeleteFunc(t.doubtful, gone)
	t.updateTroubled()
}

// updateTroubled is called after each change of the paths that are lost or in doubt. The caller holds the lock.
func (t *Table) updateTroubled() {
	t.troubled.Store(len(t.lost)+len(t.doubtful) > 0)
}

// SetHosts sets the hosts that may serve as gateways.
func (t *Table) SetHosts(hosts []host.Host) {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.domains)
	for _, h := range hosts {
		t.domains[h.Name] = h.FailureDomain
	}
	for n := range t.gateways {
		if _, ok := t.domains[n]; !ok {
			delete(t.gateways, n)
		}
	}
}
