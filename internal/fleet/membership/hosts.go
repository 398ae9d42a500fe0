package membership

import (
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/news"
)

const (
	// doubtParts of doubtWhole is the part of silent peers from which a host doubts itself.
	doubtParts = 3
	doubtWhole = 4
	// revisitPeriods is the number of periods after which a dead peer is asked again.
	revisitPeriods = 5
)

// Targets returns the peers to question in the next period: one nearby and the next in a shuffled order.
func (m *Membership) Targets() []string {
	m.period++
	var l []string
	if n := m.nearby(); n != "" {
		l = append(l, n)
	}
	if n := m.turn(); n != "" && !slices.Contains(l, n) {
		l = append(l, n)
	}
	return l
}

// Fan returns up to n peers at random that are not known to be dead, without the given one.
func (m *Membership) Fan(n int, without string) []string {
	var l []string
	for _, i := range m.random.Perm(len(m.order)) {
		if len(l) == n {
			break
		}
		p := m.order[i]
		if p != without && m.Alive(p) {
			l = append(l, p)
		}
	}
	return l
}

// FanOf returns up to n peers as Fan does, but for counts alone only those that take calls, where these are known.
func (m *Membership) FanOf(u news.News, n int) []string {
	l := m.Fan(len(m.order), "")
	if len(u.Announcements)+len(u.Hosts) == 0 {
		l = slices.DeleteFunc(l, func(p string) bool { return m.hosts[p].Control != m.hosts[p].Ledgers })
	}
	return l[:min(n, len(l))]
}

// Neighbours returns the other hosts of this failure domain that take calls and answer.
func (m *Membership) Neighbours() []string {
	var l []string
	for n, h := range m.hosts {
		same := n != m.name && h.FailureDomain == m.hosts[m.name].FailureDomain
		if same && !h.Control && !h.Ledgers && m.Alive(n) {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

// Alive reports whether a host is neither suspected here nor declared dead.
func (m *Membership) Alive(name string) bool {
	h := m.hosts[name]
	return h != nil && !h.suspect && !h.Dead
}

// Suspect notes that a peer did not answer this host.
func (m *Membership) Suspect(name string) {
	if h := m.hosts[name]; h != nil && name != m.name {
		h.suspect = true
	}
}

// Trust notes that a peer answered this host or one that asked for it.
func (m *Membership) Trust(name string) {
	if h := m.hosts[name]; h != nil {
		h.suspect = false
	}
}

// Condemn declares a suspected peer dead, unless this host doubts itself.
func (m *Membership) Condemn(name string) bool {
	h := m.hosts[name]
	if h == nil || !h.suspect || h.Dead || m.Doubtful() {
		return false
	}
	h.Dead = true
	m.urgent.Hosts = append(m.urgent.Hosts, h.Host)
	return true
}

// Doubtful reports whether so many peers are silent that the fault is likely here.
func (m *Membership) Doubtful() bool {
	n := 0
	for _, p := range m.order {
		if !m.Alive(p) {
			n++
		}
	}
	return n > 0 && n*doubtWhole >= len(m.order)*doubtParts
}

// Hosts returns the hosts as known here, ordered by name.
func (m *Membership) Hosts() []news.Host {
	return m.known()
}

// Check returns an error if the view contradicts itself.
func (m *Membership) Check() error {
	if m.hosts[m.name].Dead {
		return errors.Newf("membership: %s counts itself dead", m.name)
	}
	for n, a := range m.announcements {
		if a.upstream.Name != n {
			return errors.Newf("membership: %s stored under %s", a.upstream.Name, n)
		}
		h := m.hosts[a.origin.Host]
		if a.origin.Host == m.name && a.origin.Boot == h.Boot && a.origin.Sequence > h.Sequence {
			return errors.Newf("membership: %s has news %d past its own %d", n, a.origin.Sequence, h.Sequence)
		}
	}
	for n, l := range m.counts {
		sum := 0
		for _, c := range l {
			sum += c.inFlight
		}
		if sum != m.totals[n] {
			return errors.Newf("membership: %d in flight at %s but %d counted", sum, n, m.totals[n])
		}
	}
	return nil
}

// known returns the state of all hosts ordered by name.
func (m *Membership) known() []news.Host {
	l := make([]news.Host, 0, len(m.hosts))
	for _, h := range m.hosts {
		l = append(l, h.Host)
	}
	slices.SortFunc(l, func(a, b news.Host) int { return strings.Compare(a.Name, b.Name) })
	return l
}

// meet takes what a peer knows of hosts; sequences count only with the news up to them.
func (m *Membership) meet(l []news.Host, sequences bool) {
	for _, n := range l {
		if n.Name == m.name {
			m.refute(n)
			continue
		}
		h := m.hosts[n.Name]
		if h == nil && m.Open && !n.Dead && n.Name != "" {
			h = m.admit(n.Name)
		}
		if h == nil {
			continue
		}
		m.merge(h, n)
		if sequences && n.Boot == h.Boot {
			h.Sequence = max(h.Sequence, n.Sequence)
		}
	}
}

// Introduce sets what this host tells of itself besides its name, domain and run; it must come before any message.
func (m *Membership) Introduce(self news.Host) {
	h := m.hosts[m.name]
	h.Label, h.Control, h.Ledgers = self.Label, self.Control, self.Ledgers
}

// Stop tells that this host takes on nothing more.
func (m *Membership) Stop() {
	h := m.hosts[m.name]
	h.Stopping = true
	m.urgent.Hosts = append(m.urgent.Hosts, h.Host)
}

// Meet takes in hosts that were not named at the start.
func (m *Membership) Meet(names []string) {
	for _, n := range names {
		if m.hosts[n] == nil {
			m.admit(n)
		}
	}
}

// admit adds a host that was not named at the start.
func (m *Membership) admit(name string) *host {
	h := &host{Host: news.Host{Name: name}}
	m.hosts[name] = h
	m.order = append(m.order, name)
	return h
}

// forget drops the hosts that have been dead for long from an open membership.
func (m *Membership) forget(now time.Time) {
	if !m.Open {
		return
	}
	for n, h := range m.hosts {
		switch {
		case !h.Dead:
			h.died = time.Time{}
		case h.died.IsZero():
			h.died = now
		case now.Sub(h.died) > deadKeep:
			delete(m.hosts, n)
			m.order = slices.DeleteFunc(m.order, func(o string) bool { return o == n })
			m.next = 0
		}
	}
}

func (m *Membership) merge(h *host, n news.Host) {
	if n.Boot < h.Boot || n.Boot == h.Boot && n.Refutation < h.Refutation {
		return
	}
	if n.Boot > h.Boot {
		h.Host = news.Host{
			Name:          h.Name,
			FailureDomain: n.FailureDomain,
			Boot:          n.Boot,
			Refutation:    n.Refutation,
			Label:         n.Label,
			Control:       n.Control,
			Ledgers:       n.Ledgers,
		}
		h.suspect = false
	}
	if n.Refutation > h.Refutation {
		h.Refutation = n.Refutation
		h.Dead = false
		h.suspect = false
	}
	if n.Dead && !h.Dead {
		h.Dead = true
		m.urgent.Hosts = append(m.urgent.Hosts, h.Host)
	}
	h.Stopping = h.Stopping || n.Stopping
	if h.FailureDomain == "" {
		h.FailureDomain = n.FailureDomain
	}
}

// refute answers a claim that this host is dead.
func (m *Membership) refute(n news.Host) {
	h := m.hosts[m.name]
	if n.Boot != h.Boot || !n.Dead || n.Refutation < h.Refutation {
		return
	}
	h.Refutation = n.Refutation + 1
	m.urgent.Hosts = append(m.urgent.Hosts, h.Host)
}

// nearby returns a random live peer of this host's failure domain, or empty.
func (m *Membership) nearby() string {
	d := m.hosts[m.name].FailureDomain
	var l []string
	for _, p := range m.order {
		if m.Alive(p) && m.hosts[p].FailureDomain == d {
			l = append(l, p)
		}
	}
	if len(l) == 0 {
		return ""
	}
	return l[m.random.IntN(len(l))]
}

// turn returns the next peer of a shuffled order, passing over most of the dead ones.
func (m *Membership) turn() string {
	for range m.order {
		if m.next == 0 {
			m.random.Shuffle(len(m.order), func(i, j int) {
				m.order[i], m.order[j] = m.order[j], m.order[i]
			})
		}
		p := m.order[m.next]
		m.next = (m.next + 1) % len(m.order)
		if m.Alive(p) || m.period%revisitPeriods == 0 {
			return p
		}
	}
	return ""
}
