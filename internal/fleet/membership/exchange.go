package membership

import (
	"cmp"
	"slices"
	"time"

	"siskinrun/internal/data/news"
)

const (
	// mostNews bounds the pieces of news of each kind in one message.
	mostNews = 2048
	// mostUrgent bounds the counts of one message that goes out at once.
	mostUrgent = 64
	// hostsEachPeriod is the number of hosts with each of which a question is sent one period more seldom.
	hostsEachPeriod = 64
	// mostPeriods bounds the periods between questions, as they are also the probes of silent hosts.
	mostPeriods = 4
	// smallFleet is the number of hosts up to which the usual fan reaches most of them.
	smallFleet = 24
)

// Periods returns the number of periods between two questions of this host. Questions grow with the hosts,
// so that a large fleet asks more seldom.
func (m *Membership) Periods() int {
	return min(1+len(m.hosts)/hostsEachPeriod, mostPeriods)
}

// Small reports whether urgent news reaches most hosts at once.
func (m *Membership) Small() bool {
	return len(m.hosts) <= smallFleet
}

// Question returns what this host knows, for a peer to answer with what it lacks.
func (m *Membership) Question() news.News {
	return news.News{From: m.name, Hosts: m.known()}
}

// Answer learns from a question and returns what its sender lacks.
func (m *Membership) Answer(now time.Time, q news.News) news.News {
	m.meet(q.Hosts, false)
	known := map[string]news.Host{}
	for _, h := range q.Hosts {
		known[h.Name] = h
	}
	lacks := func(o news.Origin) bool {
		h := known[o.Host]
		return o.Boot > h.Boot || o.Boot == h.Boot && o.Sequence > h.Sequence
	}
	// A leave is not renewed, and what its sender has of a host's former run is not known.
	former := func(o news.Origin) bool {
		return o.Boot < known[o.Host].Boot
	}
	a := news.News{From: m.name}
	m.addAnnouncements(now, &a, lacks, former)
	m.addReports(now, &a, lacks)
	m.addCounts(now, &a, lacks)
	a.Hosts = m.known()
	truncate(&a)
	return a
}

// Learn takes the answer to a question that was sent at the given time.
func (m *Membership) Learn(now, sent time.Time, a news.News) {
	m.take(now, sent, a)
	m.meet(a.Hosts, true)
}

// Hear takes news that a peer sent unasked.
func (m *Membership) Hear(now time.Time, n news.News) {
	m.take(now, now, n)
	m.meet(n.Hosts, false)
}

// Urgent returns the news that should go out at once and reports whether there is any.
func (m *Membership) Urgent(now time.Time) (news.News, bool) {
	u := m.urgent
	u.From = m.name
	m.urgent = news.News{}
	for n := range m.changed {
		if len(u.Counts) == mostUrgent {
			break
		}
		delete(m.changed, n)
		if c := m.own[n]; c != nil {
			u.Counts = append(u.Counts, c.news(now, n))
		}
	}
	return u, len(u.Announcements)+len(u.Counts)+len(u.Hosts) > 0
}

// HasUrgent reports whether Urgent would return news.
func (m *Membership) HasUrgent() bool {
	return len(m.changed)+len(m.urgent.Announcements)+len(m.urgent.Hosts) > 0
}

// Prune forgets what is too old to matter and renews the counts of this host.
func (m *Membership) Prune(now time.Time) {
	m.forget(now)
	for n, a := range m.announcements {
		if now.Sub(a.born) > Memory {
			delete(m.announcements, n)
		}
	}
	for n, l := range m.reports {
		if now.Sub(l.born) > ReportExpiry {
			delete(m.reports, n)
			m.touched[n] = struct{}{}
		}
	}
	for n, l := range m.counts {
		for h, c := range l {
			if now.Sub(c.born) > CountExpiry {
				delete(l, h)
				m.total(n, -c.inFlight)
			}
		}
		if len(l) == 0 {
			delete(m.counts, n)
			delete(m.totals, n)
		}
	}
	m.renew(now)
}

// renew spreads the counts of this host again before peers forget them.
func (m *Membership) renew(now time.Time) {
	for n, c := range m.own {
		if now.Sub(c.born) < countRenewal {
			continue
		}
		if c.inFlight == 0 {
			delete(m.own, n)
			continue
		}
		c.origin = m.origin()
		c.born = now
	}
}

func (m *Membership) take(now, sent time.Time, a news.News) {
	for _, n := range a.Announcements {
		c := &announcement{origin: n.Origin, born: sent.Add(-n.Age), upstream: n.Upstream}
		if n.Age >= 0 && supersedes(c, m.announcements[n.Upstream.Name]) {
			m.keep(now, c)
		}
	}
	for _, n := range a.Reports {
		l := &load{origin: n.Origin, born: sent.Add(-n.Age), report: n.Report}
		if n.Age >= 0 && newer(l, m.reports[n.Report.Upstream]) {
			m.reports[n.Report.Upstream] = l
			m.touched[n.Report.Upstream] = struct{}{}
		}
	}
	for _, n := range a.Counts {
		m.takeCount(sent, n)
	}
}

func (m *Membership) takeCount(sent time.Time, n news.Count) {
	if n.Origin.Host == m.name || n.Age < 0 || n.InFlight < 0 {
		return
	}
	l := m.counts[n.Upstream]
	if l == nil {
		l = map[string]*count{}
		m.counts[n.Upstream] = l
	}
	old := l[n.Origin.Host]
	if old != nil && !after(n.Origin, old.origin) {
		return
	}
	c := &count{origin: n.Origin, born: sent.Add(-n.Age), inFlight: n.InFlight}
	l[n.Origin.Host] = c
	if old != nil {
		m.total(n.Upstream, -old.inFlight)
	}
	m.total(n.Upstream, c.inFlight)
}

// total changes the sum of the counts of peers at an upstream.
func (m *Membership) total(upstream string, by int) {
	if by == 0 {
		return
	}
	m.totals[upstream] += by
	m.touched[upstream] = struct{}{}
}

func (m *Membership) addAnnouncements(now time.Time, a *news.News, lacks, former func(news.Origin) bool) {
	for _, r := range m.announcements {
		unsure := r.upstream.Leaving && former(r.origin)
		if (lacks(r.origin) || unsure) && (r.upstream.Leaving || now.Sub(r.born) <= m.expiry()) {
			a.Announcements = append(a.Announcements, r.news(now))
		}
	}
}

func (m *Membership) addReports(now time.Time, a *news.News, lacks func(news.Origin) bool) {
	for _, r := range m.reports {
		if lacks(r.origin) {
			a.Reports = append(a.Reports, news.Report{Origin: r.origin, Age: now.Sub(r.born), Report: r.report})
		}
	}
}

func (m *Membership) addCounts(now time.Time, a *news.News, lacks func(news.Origin) bool) {
	add := func(n string, c *count) {
		if lacks(c.origin) && now.Sub(c.born) <= CountExpiry {
			a.Counts = append(a.Counts, c.news(now, n))
		}
	}
	for n, c := range m.own {
		add(n, c)
	}
	for n, l := range m.counts {
		for _, c := range l {
			add(n, c)
		}
	}
}

// after reports whether a was numbered after b at the same host.
func after(a, b news.Origin) bool {
	return a.Boot > b.Boot || a.Boot == b.Boot && a.Sequence > b.Sequence
}

// truncate bounds an answer and takes back the claim to know what it leaves out.
func truncate(a *news.News) {
	least := map[string]uint64{}
	a.Announcements = shorten(a.Announcements, least, func(n news.Announcement) news.Origin { return n.Origin })
	a.Reports = shorten(a.Reports, least, func(n news.Report) news.Origin { return n.Origin })
	a.Counts = shorten(a.Counts, least, func(n news.Count) news.Origin { return n.Origin })
	for i := range a.Hosts {
		if s, ok := least[a.Hosts[i].Name]; ok {
			a.Hosts[i].Sequence = min(a.Hosts[i].Sequence, s-1)
		}
	}
}

// shorten keeps the earliest news and notes for each host the first sequence that it leaves out.
func shorten[T any](l []T, least map[string]uint64, origin func(T) news.Origin) []T {
	slices.SortFunc(l, func(a, b T) int {
		x, y := origin(a), origin(b)
		return cmp.Or(cmp.Compare(x.Sequence, y.Sequence), cmp.Compare(x.Host, y.Host))
	})
	if len(l) <= mostNews {
		return l
	}
	for _, n := range l[mostNews:] {
		o := origin(n)
		if s, ok := least[o.Host]; !ok || o.Sequence < s {
			least[o.Host] = o.Sequence
		}
	}
	return l[:mostNews]
}

func (c *count) news(now time.Time, upstream string) news.Count {
	return news.Count{Origin: c.origin, Age: now.Sub(c.born), Upstream: upstream, InFlight: c.inFlight}
}
