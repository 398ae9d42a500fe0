package membership

import (
	"slices"

	"siskinrun/internal/data/gossipmessage"
)

// Targets returns the peers of the next exchange. In a small fleet they are a random one of this failure domain and the
// next in a shuffled order, in a large one the next neighbors.
func (m *Membership) Targets() []string {
	m.exchanges++
	if !m.Small() {
		return m.neighborhood().exchangeTargets(m.mayExchange)
	}
	var l []string
	if n := m.randomDomainPeer(); n != "" {
		l = append(l, n)
	}
	if n := m.nextPeer(); n != "" && !slices.Contains(l, n) {
		l = append(l, n)
	}
	return l
}

// RandomPeers returns up to n random live peers, excluding the given one. In a large fleet they are neighbors.
func (m *Membership) RandomPeers(n int, without string) []string {
	if m.Small() {
		return m.randomOf(m.peers, n, without)
	}
	return m.randomOf(m.neighborhood().all(), n, without)
}

// randomOf returns up to n random live hosts of those given, excluding one.
func (m *Membership) randomOf(peers []string, n int, without string) []string {
	var l []string
	for _, i := range m.random.Perm(len(peers)) {
		if len(l) == n {
			break
		}
		p := peers[i]
		if p != without && m.Alive(p) {
			l = append(l, p)
		}
	}
	return l
}

// RandomPeersFor returns up to n random live peers to push u to. If u holds only counts, it skips hosts with exactly one
// of the roles Control and Ledgers, as these take no calls.
func (m *Membership) RandomPeersFor(u gossipmessage.Message, n int) []string {
	l := m.RandomPeers(len(m.peers), "")
	if len(u.Announcements)+len(u.Hosts) == 0 {
		l = slices.DeleteFunc(l, func(p string) bool { return m.hosts[p].Control != m.hosts[p].Ledgers })
	}
	return l[:min(n, len(l))]
}

// DomainPeers returns the other live hosts of this failure domain that have neither of the roles Control and Ledgers.
func (m *Membership) DomainPeers() []string {
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

// randomDomainPeer returns a random live peer of this host's failure domain, or "".
func (m *Membership) randomDomainPeer() string {
	d := m.hosts[m.name].FailureDomain
	var l []string
	for _, p := range m.peers {
		if m.Alive(p) && m.hosts[p].FailureDomain == d {
			l = append(l, p)
		}
	}
	if len(l) == 0 {
		return ""
	}
	return l[m.random.IntN(len(l))]
}

// nextPeer returns the next peer in a shuffled order and skips dead peers except in one of exchangesPerDeadProbe exchanges.
func (m *Membership) nextPeer() string {
	for range m.peers {
		if m.nextIndex == 0 {
			m.random.Shuffle(len(m.peers), func(i, j int) {
				m.peers[i], m.peers[j] = m.peers[j], m.peers[i]
			})
		}
		p := m.peers[m.nextIndex]
		m.nextIndex = (m.nextIndex + 1) % len(m.peers)
		if m.mayExchange(p) {
			return p
		}
	}
	return ""
}

// mayExchange reports whether this exchange may target a peer: a live one, or any in one of exchangesPerDeadProbe exchanges.
func (m *Membership) mayExchange(peer string) bool {
	return m.Alive(peer) || m.exchanges%exchangesPerDeadProbe == 0
}
