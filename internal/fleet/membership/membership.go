package membership

import (
	"math/rand/v2"
	"time"

	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/upstream"
)

const (
	// Expiry is the age at which an announcement expires.
	Expiry = 10 * time.Second
	// RenewalAge is the age at which a repeated announcement is gossiped again.
	RenewalAge = 1500 * time.Millisecond
	// TombstoneRetention is how long an announcement is kept, so that an ended incarnation is not taken for a live one.
	TombstoneRetention = 10 * time.Minute
	// CountExpiry is the age at which the count of a peer expires.
	CountExpiry = 3 * time.Second
	// ReportExpiry is the age at which a load report is removed.
	ReportExpiry = 30 * time.Second

	// maxUpstreams bounds the remembered upstreams.
	maxUpstreams = 1 << 14

	// countRenewalAge is the age at which this host renews its counts, before they expire at peers.
	countRenewalAge = time.Second
	// isolatedExpiryFactor extends the expiry of announcements while this host is likely isolated.
	isolatedExpiryFactor = 3
	// deadHostRetention is how long an open membership keeps a dead host.
	deadHostRetention = 30 * time.Second
	// ageTolerance is the difference below which two relayed ages belong to the same announcement.
	ageTolerance = 100 * time.Millisecond
	// pcgStream is the fixed second seed of the random choice of peers.
	pcgStream = 0x9e3779b97f4a7c15
	// minConfirmationPeers is the number of peers that are told of a leave if fewer control hosts are live.
	minConfirmationPeers = 4
)

// Membership is one host's view of the hosts and upstreams of the fleet.
type Membership struct {
	// Open adds hosts that were not named at the start and removes dead ones.
	Open bool
	// ColdBound reports whether the requests to cold upstreams of a service are bounded: only then it is urgent news that one turns
	// cold. It is nil if they are for all.
	ColdBound func(service string) bool
	// Expiry is the age at which an announcement expires; zero means the constant Expiry.
	Expiry time.Duration

	name      string
	random    *rand.Rand
	exchanges uint64
	version   uint64
	// coldChanges counts the changes of the time that upstreams stay cold.
	coldChanges uint64

	hosts     map[string]*host
	peers     []string
	nextIndex int
	neighbors neighbors
	// sortedNames are the names of hosts in order, nil if hosts have come or gone since they were sorted.
	sortedNames []string

	announcements map[string]*announcement
	reports       map[string]*load
	counts        map[string]map[string]*count
	peerTotals    map[string]total
	occupancies   map[string]*occupancy
	paces         map[string]pace
	changedLoads  map[string]struct{}
	ownCounts     map[string]*count
	changedCounts map[string]struct{}
	urgent        gossipmessage.Message
}

type host struct {
	gossipmessage.Host
	suspect bool
	// deadSince is when an open membership first saw the host dead.
	deadSince time.Time
}

type load struct {
	origin     gossipmessage.Origin
	measuredAt time.Time
	report     loadreport.Report
}

// NewMembership returns the view of a host that knows only the names of its peers.
func NewMembership(name, failureDomain string, boot uint64, peers []string, seed uint64) *Membership {
	m := &Membership{
		name:          name,
		random:        rand.New(rand.NewPCG(seed, pcgStream)),
		hosts:         map[string]*host{},
		announcements: map[string]*announcement{},
		reports:       map[string]*load{},
		counts:        map[string]map[string]*count{},
		peerTotals:    map[string]total{},
		occupancies:   map[string]*occupancy{},
		paces:         map[string]pace{},
		changedLoads:  map[string]struct{}{},
		ownCounts:     map[string]*count{},
		changedCounts: map[string]struct{}{},
		neighbors:     neighbors{stale: true},
	}
	for _, p := range peers {
		if p != name {
			m.hosts[p] = &host{Host: gossipmessage.Host{Name: p}}
			m.peers = append(m.peers, p)
		}
	}
	m.hosts[name] = &host{Host: gossipmessage.Host{Name: name, FailureDomain: failureDomain, Boot: boot}}
	return m
}

// Announce stores an announcement that an upstream sent to this host and reports whether the upstream is accepted.
func (m *Membership) Announce(now time.Time, u upstream.Upstream) bool {
	createdAt := now.Add(-max(u.Age.Duration(), 0))
	u.Age = 0
	old := m.announcements[u.Name]
	a := &announcement{createdAt: createdAt, upstream: u}
	if old == nil && len(m.announcements) >= maxUpstreams {
		return false
	}
	if !supersedes(a, old) {
		return old != nil && u.SameContent(old.upstream)
	}
	if old != nil && u.SameContent(old.upstream) && a.sameCold(now, old) && createdAt.Sub(old.createdAt) < RenewalAge {
		return true
	}
	a.origin = m.nextOrigin()
	m.store(now, a)
	return true
}

// Leave ends an incarnation of an upstream and reports whether this is new.
func (m *Membership) Leave(now time.Time, name string, incarnation uint64) bool {
	u := upstream.Upstream{Name: name, Incarnation: incarnation}
	if old := m.announcements[name]; old != nil && old.upstream.Incarnation == incarnation {
		u = old.upstream
	}
	if u.Leaving {
		return false
	}
	u.Leaving = true
	a := &announcement{createdAt: now, upstream: u}
	if !supersedes(a, m.announcements[name]) {
		return false
	}
	a.origin = m.nextOrigin()
	m.store(now, a)
	return true
}

// Report stores the load that an upstream reported to this host.
func (m *Membership) Report(now time.Time, r loadreport.Report) {
	l := &load{measuredAt: now.Add(-max(r.Age.Duration(), 0)), report: r}
	l.report.Age = 0
	if !newerLoad(l, m.reports[r.Upstream]) {
		return
	}
	l.origin = m.nextOrigin()
	m.reports[r.Upstream] = l
	m.SetPace(r.Upstream, r.Pace, l.measuredAt)
	m.changedLoads[r.Upstream] = struct{}{}
}

// Incarnation returns the known incarnation of an upstream, or zero.
func (m *Membership) Incarnation(name string) uint64 {
	if a := m.announcements[name]; a != nil {
		return a.upstream.Incarnation
	}
	return 0
}

// News returns the announcement of one upstream, to push to a peer.
func (m *Membership) News(now time.Time, name string) (gossipmessage.Message, bool) {
	a := m.announcements[name]
	if a == nil {
		return gossipmessage.Message{}, false
	}
	return gossipmessage.Message{From: m.name, Announcements: []gossipmessage.Announcement{a.news(now)}}, true
}

// ConfirmationPeers returns the live peers to ask for confirmation of a leave: all control hosts, then others up to
// minConfirmationPeers.
func (m *Membership) ConfirmationPeers() []string {
	var l, others []string
	for _, p := range m.randomOf(m.peers, len(m.peers), "") {
		if m.hosts[p].Control {
			l = append(l, p)
		} else {
			others = append(others, p)
		}
	}
	return append(l, others...)[:min(len(l)+len(others), max(len(l), minConfirmationPeers))]
}

// Upstreams returns the unexpired upstreams, one for each address and leaving ones included, ordered by name.
func (m *Membership) Upstreams(now time.Time) []upstream.Upstream {
	e := m.expiry()
	if m.LikelyIsolated() {
		e *= isolatedExpiryFactor
	}
	byAddress := map[string]*announcement{}
	for _, a := range m.announcements {
		if now.Sub(a.createdAt) > e || a.upstream.Address == "" {
			continue
		}
		if o := byAddress[a.upstream.Address]; o == nil || winsAddress(a, o) {
			byAddress[a.upstream.Address] = a
		}
	}
	return sortedUpstreams(now, byAddress)
}

func (m *Membership) expiry() time.Duration {
	if m.Expiry > 0 {
		return m.Expiry
	}
	return Expiry
}

// Load returns the newest known load of an upstream and when it was measured.
func (m *Membership) Load(name string) (loadreport.Report, time.Time, bool) {
	l := m.reports[name]
	if l == nil {
		return loadreport.Report{}, time.Time{}, false
	}
	return l.report, l.measuredAt, true
}

// TakeChangedLoads returns the upstreams whose load or peers' counts have changed since the last call.
func (m *Membership) TakeChangedLoads() []string {
	var l []string
	for n := range m.changedLoads {
		l = append(l, n)
	}
	clear(m.changedLoads)
	return l
}

// Version returns a number that grows whenever an upstream is added or changes.
func (m *Membership) Version() uint64 {
	return m.version
}

// ColdChanges returns a number that grows whenever a known upstream stays cold for a time other than the one announced before,
// where ColdBound says that it matters.
func (m *Membership) ColdChanges() uint64 {
	return m.coldChanges
}

// nextOrigin returns the origin of the next piece of news that enters the fleet at this host.
func (m *Membership) nextOrigin() gossipmessage.Origin {
	h := m.hosts[m.name]
	h.Sequence++
	return gossipmessage.Origin{Host: m.name, Boot: h.Boot, Sequence: h.Sequence}
}

// coldBound reports whether the requests to an upstream are bounded while it is cold.
func (m *Membership) coldBound(a *announcement) bool {
	return m.ColdBound == nil || m.ColdBound(a.upstream.Service)
}

// store keeps an announcement and queues it as urgent if it ends an incarnation.
func (m *Membership) store(now time.Time, a *announcement) {
	old := m.announcements[a.upstream.Name]
	a.fillFrom(old)
	a.settleVersion(old)
	m.announcements[a.upstream.Name] = a
	if old == nil || !a.upstream.SameContent(old.upstream) {
		m.version++
	}
	if old != nil && !a.sameCold(now, old) {
		m.version++
		if m.coldBound(a) {
			m.coldChanges++
		}
	}
	if a.turnsCold(now, old) && !a.upstream.Leaving && m.coldBound(a) {
		m.urgent.Announcements = append(m.urgent.Announcements, a.news(now))
	}
	if !a.upstream.Leaving || old != nil && old.upstream.Leaving && old.upstream.Incarnation == a.upstream.Incarnation {
		return
	}
	m.urgent.Announcements = append(m.urgent.Announcements, a.news(now))
}
