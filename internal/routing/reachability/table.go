package reachability

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"siskinrun/internal/base/host"
	"siskinrun/internal/data/pathanswer"
	"siskinrun/internal/data/upstream"
)

const (
	// evidenceTTL is how long a connection proves that its upstream is reached, and linksTTL that this host has links at all.
	evidenceTTL = 2 * time.Second
	linksTTL    = 300 * time.Millisecond
	// failureTTL is how long a failed connection proves the opposite.
	failureTTL = 300 * time.Millisecond
	// minAskDelay and maxAskDelay bound the time between two questions about an upstream that no other host reaches.
	minAskDelay = 300 * time.Millisecond
	maxAskDelay = 4 * time.Second
	// doubtTTL is how long a connection that takes long puts its path in doubt.
	doubtTTL = 300 * time.Millisecond
	// freshTime is how long after the loss of a path others may be about to be lost.
	freshTime = time.Second
	// minSuspicious is the number of lost paths from which on the others are suspect.
	minSuspicious = 2
	// refreshDelay is the time between two questions about an upstream to which a gateway is known.
	refreshDelay = time.Second
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

// path is what is known of the path to one upstream.
type path struct {
	service string
	address string
	// lost means that the last connection by this host itself failed.
	lost bool
	// workedAt and failedAt are when a connection by this host itself last came about or failed.
	workedAt, failedAt time.Time
	// gateways holds when each host last said that it reaches the upstream.
	gateways map[string]time.Time
	// doubtedAt is when a connection last took long.
	doubtedAt time.Time
	// asked says that other hosts were asked since the path was lost.
	asked bool
	// askAt is when other hosts are asked about the upstream again, askDelay after the last time.
	askAt    time.Time
	askDelay time.Duration
}

// gateway is what is known of a host that may serve as a gateway.
type gateway struct {
	// busy is the number of calls and tunnels that the host said it has in flight, and opened that of this host's tunnels since.
	busy, opened int
	avoidUntil   time.Time
}

// Table holds the paths of one host; it is safe for concurrent use.
type Table struct {
	// FailureDomain is the failure domain of this host.
	FailureDomain string

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

// Worked records a connection of this host to an upstream, and reports whether the path was lost before.
func (t *Table) Worked(name string, now time.Time) (regained bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	if p == nil {
		return false
	}
	regained = p.lost
	p.lost, p.asked = false, false
	p.workedAt, t.linkedAt = now, now
	delete(t.lost, name)
	delete(t.doubtful, name)
	clear(p.gateways)
	return regained
}

// Failed records that a connection of this host to an upstream failed, and reports whether the path was not lost before.
func (t *Table) Failed(name string, now time.Time) (lost bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	if p == nil {
		return false
	}
	p.failedAt = now
	if p.lost {
		return false
	}
	p.lost = true
	t.lost[name] = p
	delete(t.doubtful, name)
	t.troubledAt = now
	p.asked, p.askAt, p.askDelay = false, now, minAskDelay
	return true
}

// Doubt records that a connection of this host to an upstream takes long.
func (t *Table) Doubt(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.paths[name]; p != nil && !p.lost {
		p.doubtedAt = now
		t.doubtful[name] = p
		t.troubledAt = now
	}
}

// Doubted returns the upstreams to which a connection took long moments ago and none has come about since.
func (t *Table) Doubted(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	maps.DeleteFunc(t.doubtful, func(_ string, p *path) bool { return !p.doubted(now) })
	return slices.Sorted(maps.Keys(t.doubtful))
}

// Suspect reports whether the path to an upstream may be lost like others: some were lost or came in doubt moments ago, which
// other hosts reach, and no connection has come about to this one since.
func (t *Table) Suspect(name string, now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	if p == nil || !t.fresh(now) || p.workedAt.After(t.troubledAt) {
		return false
	}
	n := 0
	for _, m := range []map[string]*path{t.lost, t.doubtful} {
		for _, o := range m {
			if len(o.gateways) > 0 {
				n++
			}
		}
	}
	return n >= minSuspicious
}

// Fresh reports whether a path was lost or came in doubt moments ago.
func (t *Table) Fresh(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.fresh(now)
}

// Refuted records that a connection that was tried for another host failed, which does not lose the path of this one.
func (t *Table) Refuted(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.paths[name]; p != nil {
		p.failedAt = now
	}
}

// Direct reports whether this host connects to an upstream by itself.
func (t *Table) Direct(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	return p == nil || !p.lost
}

// Evidence tells whether this host reaches an upstream by itself, and whether it knows that: by a connection of the last
// seconds, and by one to any upstream of the last moments, since it may have lost all links in between.
func (t *Table) Evidence(name string, now time.Time) (reached, known bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	switch {
	case p == nil:
		return false, true
	case p.failedAt.After(p.workedAt) && (p.lost || now.Sub(p.failedAt) < failureTTL):
		return false, true
	case p.workedAt.IsZero() || now.Sub(p.workedAt) >= evidenceTTL || !t.linked(now):
		return false, false
	}
	return true, true
}

// Denied reports whether a connection of this host to an upstream failed and none has come about since.
func (t *Table) Denied(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	return p == nil || p.lost || p.failedAt.After(p.workedAt)
}

// Lost returns the upstreams that this host does not reach by itself, in order.
func (t *Table) Lost() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.lost))
}

// Unproven returns up to n random upstreams that this host has not connected to since a time and does not hold for lost.
func (t *Table) Unproven(since time.Time, n int) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []string
	for name, p := range t.paths {
		if !p.lost && p.workedAt.Before(since) {
			l = append(l, name)
		}
	}
	slices.Sort(l)
	t.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	return l[:min(n, len(l))]
}

// Unanswered reports whether no gateway is known to any of some upstreams.
func (t *Table) Unanswered(names []string, now time.Time) bool {
	for _, n := range names {
		if len(t.Gateways(n, now)) > 0 {
			return false
		}
	}
	return true
}

// Questions returns the upstreams about which other hosts are asked now: lost ones, and those in doubt.
func (t *Table) Questions(now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	var l []string
	for n, p := range t.lost {
		if !now.Before(p.askAt) {
			l = append(l, n)
		}
	}
	for n, p := range t.doubtful {
		if p.doubted(now) {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

// Asked records that other hosts were asked about upstreams. Where none reaches one, they are asked again later and later.
func (t *Table) Asked(names []string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, n := range names {
		p := t.paths[n]
		if p == nil || !p.lost {
			continue
		}
		p.expire(now)
		p.asked = true
		if len(p.gateways) > 0 {
			p.askAt, p.askDelay = now.Add(refreshDelay), minAskDelay
			continue
		}
		p.askAt = now.Add(p.askDelay)
		p.askDelay = min(2*p.askDelay, maxAskDelay)
	}
}

// Open reports whether it is an open question which other hosts reach an upstream that this one does not.
func (t *Table) Open(name string) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	return p != nil && !p.asked
}

// Answered records what a host that was asked said. One that reaches any of the upstreams in question is taken to reach all
// others but those that it has lost.
func (t *Table) Answered(from string, a pathanswer.Answer, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	g := t.gateway(from)
	g.busy, g.opened = a.Busy, 0
	if !a.Linked || a.Full {
		g.avoidUntil = now.Add(avoidTime)
	}
	if len(a.Reached) == 0 {
		return
	}
	unreached := map[string]bool{}
	for _, n := range slices.Concat(a.Asked, a.Lost) {
		unreached[n] = true
	}
	for _, n := range a.Reached {
		delete(unreached, n)
	}
	for n, p := range t.paths {
		if !unreached[n] {
			p.gateways[from] = now
		}
	}
}

// Avoid records that a host is of no use as a gateway for now.
func (t *Table) Avoid(name string, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gateway(name).avoidUntil = now.Add(avoidTime)
}

// Unreached records that a gateway does not reach an upstream.
func (t *Table) Unreached(gateway, name string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if p := t.paths[name]; p != nil {
		delete(p.gateways, gateway)
	}
}

// Opened records that this host has opened a tunnel through a gateway.
func (t *Table) Opened(gateway string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.gateway(gateway).opened++
}

// Gateways returns the gateways to an upstream, the best one first: those with the least to do, of the own failure domain first.
func (t *Table) Gateways(name string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	p := t.paths[name]
	if p == nil {
		return nil
	}
	p.expire(now)
	costs := map[string]int{}
	var l []string
	for h := range p.gateways {
		if d, ok := t.domains[h]; ok {
			costs[h] = t.cost(h, d, now)
			l = append(l, h)
		}
	}
	slices.Sort(l)
	t.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	slices.SortStableFunc(l, func(a, b string) int { return cmp.Compare(costs[a], costs[b]) })
	return l
}

// cost returns the expected cost of one more tunnel through a host of a failure domain.
func (t *Table) cost(name, domain string, now time.Time) int {
	g := t.gateway(name)
	c := g.busy + g.opened
	if domain != t.FailureDomain {
		c += remoteCost
	}
	if now.Before(g.avoidUntil) {
		c += avoidCost
	}
	return c
}

// Candidates returns up to n hosts to ask for paths, without those that were asked: known gateways, then half of the others
// from the own failure domain.
func (t *Table) Candidates(n int, referred, asked []string, now time.Time) []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	serving := t.serving()
	var known, local, remote []string
	for h, d := range t.domains {
		switch {
		case now.Before(t.gateway(h).avoidUntil), slices.Contains(asked, h):
		case serving[h] || slices.Contains(referred, h):
			known = append(known, h)
		case d == t.FailureDomain:
			local = append(local, h)
		default:
			remote = append(remote, h)
		}
	}
	for _, l := range [][]string{known, local, remote} {
		slices.Sort(l)
		t.random.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	}
	l := known[:min(len(known), n)]
	half := (n - len(l) + 1) / 2
	l = append(l, local[:min(len(local), half)]...)
	l = append(l, remote[:min(len(remote), n-len(l))]...)
	rest := local[min(len(local), half):]
	return append(l, rest[:min(len(rest), n-len(l))]...)
}

// Serving returns the hosts that serve as gateways to any upstream.
func (t *Table) Serving() []string {
	t.mu.Lock()
	defer t.mu.Unlock()
	return slices.Sorted(maps.Keys(t.serving()))
}

// Linked reports whether this host has connected to some upstream moments ago.
func (t *Table) Linked(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.linked(now)
}

func (t *Table) linked(now time.Time) bool {
	return !t.linkedAt.IsZero() && now.Sub(t.linkedAt) < linksTTL
}

// CutOff returns the services that this host has lost or regained since the last call. A service is lost if other hosts reach
// half of its upstreams and this host does not.
func (t *Table) CutOff(now time.Time) (lost, regained []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	gone, through := map[string]int{}, map[string]int{}
	for _, p := range t.lost {
		p.expire(now)
		gone[p.service]++
		if len(p.gateways) > 0 {
			through[p.service]++
		}
	}
	for s, n := range t.sizes {
		half := cutOffShare * float64(n)
		switch {
		case !t.cutOff[s] && float64(through[s]) >= half:
			t.cutOff[s] = true
			lost = append(lost, s)
		case t.cutOff[s] && float64(gone[s]) < half:
			t.cutOff[s] = false
			regained = append(regained, s)
		}
	}
	slices.Sort(lost)
	slices.Sort(regained)
	return lost, regained
}

// serving returns the hosts that serve as gateways to any upstream.
func (t *Table) serving() map[string]bool {
	m := map[string]bool{}
	for _, p := range t.lost {
		for h := range p.gateways {
			if _, ok := t.domains[h]; ok {
				m[h] = true
			}
		}
	}
	return m
}

func (t *Table) gateway(name string) *gateway {
	g := t.gateways[name]
	if g == nil {
		g = &gateway{}
		t.gateways[name] = g
	}
	return g
}

// fresh reports whether a path was lost or came in doubt moments ago.
func (t *Table) fresh(now time.Time) bool {
	return !t.troubledAt.IsZero() && now.Sub(t.troubledAt) < freshTime
}

// doubted reports whether a connection took long moments ago.
func (p *path) doubted(now time.Time) bool {
	return now.Sub(p.doubtedAt) < doubtTTL
}

// expire forgets the gateways that have not said for long that they reach the upstream.
func (p *path) expire(now time.Time) {
	for h, at := range p.gateways {
		if now.Sub(at) > gatewayTTL {
			delete(p.gateways, h)
		}
	}
}
