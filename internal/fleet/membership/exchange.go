package membership

import (
	"cmp"
	"slices"
	"time"

	"siskinrun/internal/data/gossipmessage"
)

const (
	// maxItemsPerMessage bounds the announcements in one message, and likewise the reports and the counts.
	maxItemsPerMessage = 2048
	// maxUrgentCounts bounds the counts in one urgent message.
	maxUrgentCounts = 64
	// hostsPerPeriod is the number of hosts that lengthens the exchange interval by one period.
	hostsPerPeriod = 64
	// maxExchangePeriods bounds the exchange interval, because exchanges also detect failed hosts.
	maxExchangePeriods = 4
	// smallFleet is the number of hosts up to which the usual fan-out reaches most of them.
	smallFleet = 24
)

// ExchangePeriods returns the number of periods between two exchanges. Digests grow with the number of hosts,
// so a large fleet exchanges less often.
func (m *Membership) ExchangePeriods() int {
	return min(1+len(m.hosts)/hostsPerPeriod, maxExchangePeriods)
}

// Small reports whether the usual fan-out of urgent news reaches most hosts directly.
func (m *Membership) Small() bool {
	return len(m.hosts) <= smallFleet
}

// Answer merges the hosts of a digest and returns the news that its sender lacks, or only the hosts known here if the
// fingerprint of the digest does not match.
func (m *Membership) Answer(now time.Time, q gossipmessage.Message) gossipmessage.Message {
	compact := q.Fingerprint != 0
	if compact && !m.expand(&q) {
		return gossipmessage.Message{From: m.name, Hosts: m.sortedHosts(), Mismatch: true}
	}
	m.mergeHosts(q.Hosts, false)
	a := m.newsFor(now, q)
	a.Hosts = m.sortedHosts()
	truncate(&a)
	if compact {
		compress(&a)
	}
	return a
}

// newsFor returns the announcements, reports and counts that the sender of a digest lacks.
func (m *Membership) newsFor(now time.Time, q gossipmessage.Message) gossipmessage.Message {
	known := map[string]gossipmessage.Host{}
	for _, h := range q.Hosts {
		known[h.Name] = h
	}
	lacks := func(o gossipmessage.Origin) bool {
		h := known[o.Host]
		return o.Boot > h.Boot || o.Boot == h.Boot && o.Sequence > h.Sequence
	}
	// A digest does not say which news of a former run its sender has, and a leave is never renewed: send it again.
	former := func(o gossipmessage.Origin) bool {
		return o.Boot < known[o.Host].Boot
	}
	a := gossipmessage.Message{From: m.name}
	m.addAnnouncements(now, &a, lacks, former)
	m.addReports(now, &a, lacks)
	if m.Small() {
		m.addCounts(now, &a, lacks)
	}
	return a
}

// ApplyAnswer merges the answer to a digest that was sent at the given time.
func (m *Membership) ApplyAnswer(now, sent time.Time, a gossipmessage.Message) {
	m.apply(now, sent, a)
	if a.Fingerprint != 0 && !m.expand(&a) {
		return // the hosts known here have changed since the digest: its news will come again
	}
	m.mergeHosts(a.Hosts, !a.Mismatch)
}

// ApplyPush merges news that a peer pushed.
func (m *Membership) ApplyPush(now time.Time, n gossipmessage.Message) {
	m.apply(now, now, n)
	m.mergeHosts(n.Hosts, false)
}

// TakeUrgent removes and returns the news to push at once, and reports whether there is any.
func (m *Membership) TakeUrgent(now time.Time) (gossipmessage.Message, bool) {
	u := m.urgent
	u.From = m.name
	m.urgent = gossipmessage.Message{}
	for n := range m.changedCounts {
		if len(u.Counts) == maxUrgentCounts {
			break
		}
		delete(m.changedCounts, n)
		if c := m.ownCounts[n]; c != nil {
			u.Counts = append(u.Counts, m.withPace(now, c.news(now, n)))
		}
	}
	return u, len(u.Announcements)+len(u.Counts)+len(u.Hosts) > 0
}

// HasUrgent reports whether there is news for TakeUrgent to return.
func (m *Membership) HasUrgent() bool {
	return len(m.changedCounts)+len(m.urgent.Announcements)+len(m.urgent.Hosts) > 0
}

// Prune removes expired entries and renews the counts of this host.
func (m *Membership) Prune(now time.Time) {
	m.removeDead(now)
	m.pruneOccupancies(now)
	m.prunePaces(now)
	for n, a := range m.announcements {
		if now.Sub(a.createdAt) > TombstoneRetention {
			delete(m.announcements, n)
		}
	}
	for n, l := range m.reports {
		if now.Sub(l.measuredAt) > ReportExpiry {
			delete(m.reports, n)
			m.changedLoads[n] = struct{}{}
		}
	}
	for n, l := range m.counts {
		for h, c := range l {
			if now.Sub(c.createdAt) > CountExpiry {
				delete(l, h)
				m.adjustTotal(n, total{-c.online, -c.batch})
			}
		}
		if len(l) == 0 {
			delete(m.counts, n)
			delete(m.peerTotals, n)
		}
	}
	m.renewOwnCounts(now)
}

func (m *Membership) apply(now, sent time.Time, a gossipmessage.Message) {
	for _, n := range a.Announcements {
		c := &announcement{origin: n.Origin, createdAt: sent.Add(-n.Age), upstream: n.Upstream}
		if n.Age >= 0 && supersedes(c, m.announcements[n.Upstream.Name]) {
			m.store(now, c)
		}
	}
	for _, n := range a.Reports {
		l := &load{origin: n.Origin, measuredAt: sent.Add(-n.Age), report: n.Report}
		if n.Age >= 0 && newerLoad(l, m.reports[n.Report.Upstream]) {
			m.reports[n.Report.Upstream] = l
			m.changedLoads[n.Report.Upstream] = struct{}{}
		}
	}
	for _, n := range a.Counts {
		m.applyCount(sent, n)
	}
	for _, o := range a.Occupancies {
		m.applyOccupancy(sent, o)
	}
}

func (m *Membership) addAnnouncements(now time.Time, a *gossipmessage.Message, lacks, former func(gossipmessage.Origin) bool) {
	for _, r := range m.announcements {
		unknown := r.upstream.Leaving && former(r.origin)
		if (lacks(r.origin) || unknown) && (r.upstream.Leaving || now.Sub(r.createdAt) <= m.expiry()) {
			a.Announcements = append(a.Announcements, r.news(now))
		}
	}
}

func (m *Membership) addReports(now time.Time, a *gossipmessage.Message, lacks func(gossipmessage.Origin) bool) {
	for _, r := range m.reports {
		if lacks(r.origin) {
			a.Reports = append(a.Reports, gossipmessage.Report{Origin: r.origin, Age: now.Sub(r.measuredAt), Report: r.report})
		}
	}
}

// originAfter reports whether a is later than b, where both come from the same host.
func originAfter(a, b gossipmessage.Origin) bool {
	return a.Boot > b.Boot || a.Boot == b.Boot && a.Sequence > b.Sequence
}

// truncate bounds an answer and lowers the sequences of its hosts, so that the receiver asks again for what is omitted.
func truncate(a *gossipmessage.Message) {
	firstOmitted := map[string]uint64{}
	a.Announcements = truncateItems(a.Announcements, firstOmitted, func(n gossipmessage.Announcement) gossipmessage.Origin { return n.Origin })
	a.Reports = truncateItems(a.Reports, firstOmitted, func(n gossipmessage.Report) gossipmessage.Origin { return n.Origin })
	a.Counts = truncateItems(a.Counts, firstOmitted, func(n gossipmessage.Count) gossipmessage.Origin { return n.Origin })
	for i := range a.Hosts {
		if s, ok := firstOmitted[a.Hosts[i].Name]; ok {
			a.Hosts[i].Sequence = min(a.Hosts[i].Sequence, s-1)
		}
	}
}

// truncateItems keeps the news with the lowest sequences and records the first omitted sequence of each host.
func truncateItems[T any](l []T, firstOmitted map[string]uint64, origin func(T) gossipmessage.Origin) []T {
	slices.SortFunc(l, func(a, b T) int {
		x, y := origin(a), origin(b)
		return cmp.Or(cmp.Compare(x.Sequence, y.Sequence), cmp.Compare(x.Host, y.Host))
	})
	if len(l) <= maxItemsPerMessage {
		return l
	}
	for _, n := range l[maxItemsPerMessage:] {
		o := origin(n)
		if s, ok := firstOmitted[o.Host]; !ok || o.Sequence < s {
			firstOmitted[o.Host] = o.Sequence
		}
	}
	return l[:maxItemsPerMessage]
}
