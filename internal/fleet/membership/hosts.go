package membership

import (
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/gossipmessage"
)

const (
	// isolationNumerator over isolationDenominator is the share of silent peers at which a host takes itself for isolated.
	isolationNumerator   = 3
	isolationDenominator = 4
	// exchangesPerDeadProbe says that one in this many exchanges of a host may target a dead peer.
	exchangesPerDeadProbe = 5
)

// SameDomain reports whether a host is known to be in the failure domain of this one.
func (m *Membership) SameDomain(name string) bool {
	h := m.hosts[name]
	return h != nil && h.FailureDomain == m.hosts[m.name].FailureDomain
}

// Alive reports whether a host is known and neither suspected here nor declared dead.
func (m *Membership) Alive(name string) bool {
	h := m.hosts[name]
	return h != nil && !h.suspect && !h.Dead
}

// Suspect records that a peer did not answer this host.
func (m *Membership) Suspect(name string) {
	if h := m.hosts[name]; h != nil && name != m.name {
		h.suspect = true
	}
}

// MarkAlive records that a peer contacted or answered this host, or answered a probe on its behalf.
func (m *Membership) MarkAlive(name string) {
	if h := m.hosts[name]; h != nil {
		h.suspect = false
	}
}

// DeclareDead declares a suspected peer dead unless this host is likely isolated, and reports whether it did.
func (m *Membership) DeclareDead(name string) bool {
	h := m.hosts[name]
	if h == nil || !h.suspect || h.Dead || m.LikelyIsolated() {
		return false
	}
	h.Dead = true
	m.urgent.Hosts = append(m.urgent.Hosts, h.Host)
	return true
}

// LikelyIsolated reports whether so many peers are silent that this host is probably cut off from the fleet.
//
// A host of a large fleet contacts its neighbors only, so their silence counts as that of all peers does.
func (m *Membership) LikelyIsolated() bool {
	return m.mostlySilent(m.peers) || !m.Small() && m.mostlySilent(m.neighborhood().fleet)
}

// Hosts returns the known hosts, ordered by name.
func (m *Membership) Hosts() []gossipmessage.Host {
	return m.sortedHosts()
}

// CheckInvariants returns an error if the view is inconsistent.
func (m *Membership) CheckInvariants() error {
	if m.hosts[m.name].Dead {
		return errors.Newf("membership: host %s is dead in its own view", m.name)
	}
	for n, a := range m.announcements {
		if a.upstream.Name != n {
			return errors.Newf("membership: announcement of upstream %s is stored under %s", a.upstream.Name, n)
		}
		h := m.hosts[a.origin.Host]
		if a.origin.Host == m.name && a.origin.Boot == h.Boot && a.origin.Sequence > h.Sequence {
			return errors.Newf("membership: announcement of %s has sequence %d, but this host has issued only %d", n, a.origin.Sequence, h.Sequence)
		}
	}
	for n, l := range m.counts {
		sum := total{}
		for _, c := range l {
			sum = total{sum.online + c.online, sum.batch + c.batch}
		}
		if sum != m.peerTotals[n] {
			return errors.Newf("membership: counts of peers sum to %+v at %s, but the stored total is %+v", sum, n, m.peerTotals[n])
		}
	}
	return nil
}

// sortedHosts returns the state of all hosts, ordered by name.
func (m *Membership) sortedHosts() []gossipmessage.Host {
	if m.sortedNames == nil {
		m.sortedNames = slices.Sorted(maps.Keys(m.hosts))
	}
	l := make([]gossipmessage.Host, 0, len(m.hosts))
	for _, n := range m.sortedNames {
		l = append(l, m.hosts[n].Host)
	}
	return l
}

// mergeHosts merges the hosts known to a peer. Their sequences are merged only from an answer, which carries the news
// up to them.
func (m *Membership) mergeHosts(l []gossipmessage.Host, sequences bool) {
	for _, n := range l {
		if n.Name == m.name {
			m.refute(n)
			continue
		}
		h := m.hosts[n.Name]
		if h == nil && m.Open && !n.Dead && n.Name != "" {
			h = m.addHost(n.Name)
		}
		if h == nil {
			continue
		}
		m.mergeHost(h, n)
		if sequences && n.Boot == h.Boot {
			h.Sequence = max(h.Sequence, n.Sequence)
		}
	}
}

// SetSelf sets the label, the roles and the features of this host; it must be called before any message is sent or answered.
func (m *Membership) SetSelf(self gossipmessage.Host) {
	h := m.hosts[m.name]
	h.Label, h.Control, h.Ledgers, h.Features = self.Label, self.Control, self.Ledgers, self.Features
}

// AnnounceStopping tells other hosts that this one accepts no more work.
func (m *Membership) AnnounceStopping() {
	h := m.hosts[m.name]
	h.Stopping = true
	m.urgent.Hosts = append(m.urgent.Hosts, h.Host)
}

// AnnounceReplica tells other hosts that this one holds a replica of a batch ledger.
func (m *Membership) AnnounceReplica() {
	h := m.hosts[m.name]
	if h.Replica {
		return
	}
	h.Replica = true
	m.urgent.Hosts = append(m.urgent.Hosts, h.Host)
}

// AddHosts adds hosts that were not named at the start.
func (m *Membership) AddHosts(names []string) {
	for _, n := range names {
		if m.hosts[n] == nil {
			m.addHost(n)
		}
	}
}

// addHost adds a host that was not named at the start.
func (m *Membership) addHost(name string) *host {
	h := &host{Host: gossipmessage.Host{Name: name}}
	m.hosts[name] = h
	m.peers = append(m.peers, name)
	m.neighbors.stale = true
	m.sortedNames = nil
	return h
}

// removeDead removes hosts from an open membership once they have been dead for deadHostRetention.
func (m *Membership) removeDead(now time.Time) {
	if !m.Open {
		return
	}
	for n, h := range m.hosts {
		switch {
		case !h.Dead:
			h.deadSince = time.Time{}
		case h.deadSince.IsZero():
			h.deadSince = now
		case now.Sub(h.deadSince) > deadHostRetention:
			delete(m.hosts, n)
			m.neighbors.stale = true
			m.sortedNames = nil
			m.peers = slices.DeleteFunc(m.peers, func(o string) bool { return o == n })
			m.nextIndex = 0
		}
	}
}

func (m *Membership) mergeHost(h *host, n gossipmessage.Host) {
	if n.Boot < h.Boot || n.Boot == h.Boot && n.Refutation < h.Refutation {
		return
	}
	d := h.FailureDomain
	defer func() {
		if h.FailureDomain != d {
			m.neighbors.stale = true
		}
	}()
	if n.Boot > h.Boot {
		h.Host = gossipmessage.Host{
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
	h.Replica = h.Replica || n.Replica
	// A host of an older build passes news of others on without their features.
	h.Features |= n.Features
	if h.FailureDomain == "" {
		h.FailureDomain = n.FailureDomain
	}
}

// refute overrides a claim that this host is dead with a higher refutation.
func (m *Membership) refute(n gossipmessage.Host) {
	h := m.hosts[m.name]
	if n.Boot != h.Boot || !n.Dead || n.Refutation < h.Refutation {
		return
	}
	h.Refutation = n.Refutation + 1
	m.urgent.Hosts = append(m.urgent.Hosts, h.Host)
}
