package membership

import (
	"math/rand/v2"
	"time"

	"siskinrun/internal/data/news"
	"siskinrun/internal/data/report"
	"siskinrun/internal/data/upstream"
)

const (
	// Expiry is the age at which an announcement no longer counts.
	Expiry = 10 * time.Second
	// Renewal is the age at which a repeated announcement is spread again.
	Renewal = 1500 * time.Millisecond
	// Memory is how long an ended incarnation is remembered.
	Memory = 10 * time.Minute
	// CountExpiry is the age at which a count of a peer no longer counts.
	CountExpiry = 3 * time.Second
	// ReportExpiry is the age at which a load report is forgotten.
	ReportExpiry = 30 * time.Second

	// mostUpstreams bounds the upstreams that are remembered.
	mostUpstreams = 1 << 14

	countRenewal = time.Second
	// doubtfulFactor stretches the age limit while this host doubts its own view.
	doubtfulFactor = 3
	// deadKeep is how long an open membership remembers a dead host.
	deadKeep = 30 * time.Second
	// sameAge is the difference of ages below which two relays tell the same.
	sameAge = 100 * time.Millisecond
	seedMix = 0x9e3779b97f4a7c15
	// mostWitnesses is the number of peers that are told of a leave where there are fewer control hosts.
	mostWitnesses = 4
)

// Membership is one host's view of the hosts and upstreams of the fleet.
type Membership struct {
	// Open takes in hosts that were not named at the start, and forgets dead ones.
	Open bool
	// Expiry is the age at which an announcement no longer counts; zero means the constant.
	Expiry time.Duration

	name    string
	random  *rand.Rand
	period  uint64
	version uint64

	hosts map[string]*host
	order []string
	next  int

	announcements map[string]*announcement
	reports       map[string]*load
	counts        map[string]map[string]*count
	totals        map[string]int
	touched       map[string]struct{}
	own           map[string]*count
	changed       map[string]struct{}
	urgent        news.News
}

type host struct {
	news.Host
	suspect bool
	// died is when an open membership first took the host for dead.
	died time.Time
}

type announcement struct {
	origin   news.Origin
	born     time.Time
	upstream upstream.Upstream
}

type load struct {
	origin news.Origin
	born   time.Time
	report report.Report
}

type count struct {
	origin   news.Origin
	born     time.Time
	inFlight int
}

// NewMembership returns the view of a host that knows only the names of its peers.
func NewMembership(name, failureDomain string, boot uint64, peers []string, seed uint64) *Membership {
	m := &Membership{
		name:          name,
		random:        rand.New(rand.NewPCG(seed, seedMix)),
		hosts:         map[string]*host{},
		announcements: map[string]*announcement{},
		reports:       map[string]*load{},
		counts:        map[string]map[string]*count{},
		totals:        map[string]int{},
		touched:       map[string]struct{}{},
		own:           map[string]*count{},
		changed:       map[string]struct{}{},
	}
	for _, p := range peers {
		if p != name {
			m.hosts[p] = &host{Host: news.Host{Name: p}}
			m.order = append(m.order, p)
		}
	}
	m.hosts[name] = &host{Host: news.Host{Name: name, FailureDomain: failureDomain, Boot: boot}}
	return m
}

// Announce takes an announcement that an upstream sent to this host and reports whether it counts.
func (m *Membership) Announce(now time.Time, u upstream.Upstream) bool {
	born := now.Add(-max(u.Age.Duration(), 0))
	u.Age = 0
	old := m.announcements[u.Name]
	a := &announcement{born: born, upstream: u}
	if old == nil && len(m.announcements) >= mostUpstreams {
		return false
	}
	if !supersedes(a, old) {
		return old != nil && same(u, old.upstream)
	}
	if old != nil && same(u, old.upstream) && born.Sub(old.born) < Renewal {
		return true
	}
	a.origin = m.origin()
	m.keep(now, a)
	return true
}

// Leave ends an incarnation of an upstream and reports whether it was not known to have ended.
func (m *Membership) Leave(now time.Time, name string, incarnation uint64) bool {
	u := upstream.Upstream{Name: name, Incarnation: incarnation}
	if old := m.announcements[name]; old != nil && old.upstream.Incarnation == incarnation {
		u = old.upstream
	}
	if u.Leaving {
		return false
	}
	u.Leaving = true
	a := &announcement{born: now, upstream: u}
	if !supersedes(a, m.announcements[name]) {
		return false
	}
	a.origin = m.origin()
	m.keep(now, a)
	return true
}

// Report takes the load that an upstream reported to this host.
func (m *Membership) Report(now time.Time, r report.Report) {
	l := &load{born: now.Add(-max(r.Age.Duration(), 0)), report: r}
	l.report.Age = 0
	if !newer(l, m.reports[r.Upstream]) {
		return
	}
	l.origin = m.origin()
	m.reports[r.Upstream] = l
	m.touched[r.Upstream] = struct{}{}
}

// Busy takes the number of requests that this host has in flight at an upstream.
func (m *Membership) Busy(now time.Time, name string, n int) {
	c := m.own[name]
	if c == nil && n == 0 || c != nil && c.inFlight == n && now.Sub(c.born) < countRenewal {
		return
	}
	if c == nil {
		c = &count{}
		m.own[name] = c
	}
	*c = count{origin: m.origin(), born: now, inFlight: n}
	m.changed[name] = struct{}{}
}

// Incarnation returns the known incarnation of an upstream, or zero.
func (m *Membership) Incarnation(name string) uint64 {
	if a := m.announcements[name]; a != nil {
		return a.upstream.Incarnation
	}
	return 0
}

// News returns what is known of one upstream for a peer that is told of it.
func (m *Membership) News(now time.Time, name string) (news.News, bool) {
	a := m.announcements[name]
	if a == nil {
		return news.News{}, false
	}
	return news.News{From: m.name, Announcements: []news.Announcement{a.news(now)}}, true
}

// Witnesses returns live peers that may confirm news, control hosts first and not more than needed.
func (m *Membership) Witnesses() []string {
	var l, others []string
	for _, p := range m.Fan(len(m.order), "") {
		if m.hosts[p].Control {
			l = append(l, p)
		} else {
			others = append(others, p)
		}
	}
	return append(l, others...)[:min(len(l)+len(others), max(len(l), mostWitnesses))]
}

// Upstreams returns the upstreams that count now, the leaving ones among them marked, ordered by name.
func (m *Membership) Upstreams(now time.Time) []upstream.Upstream {
	e := m.expiry()
	if m.Doubtful() {
		e *= doubtfulFactor
	}
	claims := map[string]*announcement{}
	for _, a := range m.announcements {
		if now.Sub(a.born) > e || a.upstream.Address == "" {
			continue
		}
		if o := claims[a.upstream.Address]; o == nil || precedes(a, o) {
			claims[a.upstream.Address] = a
		}
	}
	return sorted(now, claims)
}

func (m *Membership) expiry() time.Duration {
	if m.Expiry > 0 {
		return m.Expiry
	}
	return Expiry
}

// Load returns the newest load known of an upstream and when it was measured.
func (m *Membership) Load(name string) (report.Report, time.Time, bool) {
	l := m.reports[name]
	if l == nil {
		return report.Report{}, time.Time{}, false
	}
	return l.report, l.born, true
}

// Peers returns the number of requests that other hosts are known to have in flight at an upstream.
func (m *Membership) Peers(name string) int {
	return m.totals[name]
}

// Touched returns the upstreams whose load or count has changed since the last call.
func (m *Membership) Touched() []string {
	var l []string
	for n := range m.touched {
		l = append(l, n)
	}
	clear(m.touched)
	return l
}

// Version grows whenever an upstream comes or changes.
func (m *Membership) Version() uint64 {
	return m.version
}

// origin numbers the next piece of news that enters the fleet here.
func (m *Membership) origin() news.Origin {
	h := m.hosts[m.name]
	h.Sequence++
	return news.Origin{Host: m.name, Boot: h.Boot, Sequence: h.Sequence}
}

// keep stores an announcement and marks it as urgent if it ends an incarnation.
func (m *Membership) keep(now time.Time, a *announcement) {
	old := m.announcements[a.upstream.Name]
	a.complete(old)
	m.announcements[a.upstream.Name] = a
	if old == nil || !same(a.upstream, old.upstream) {
		m.version++
	}
	if !a.upstream.Leaving || old != nil && old.upstream.Leaving && old.upstream.Incarnation == a.upstream.Incarnation {
		return
	}
	m.urgent.Announcements = append(m.urgent.Announcements, a.news(now))
}

// complete takes over what a host told of a leave without knowing the upstream that left.
func (a *announcement) complete(old *announcement) {
	if old == nil || a.upstream.Address != "" || a.upstream.Incarnation != old.upstream.Incarnation {
		return
	}
	u := old.upstream
	u.Leaving = a.upstream.Leaving
	a.upstream = u
}

func (a *announcement) news(now time.Time) news.Announcement {
	return news.Announcement{Origin: a.origin, Age: now.Sub(a.born), Upstream: a.upstream}
}
