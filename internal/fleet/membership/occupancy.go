package membership

import (
	"time"

	"siskinrun/internal/data/gossipmessage"
)

// occupancy is the number of requests at an upstream, as summed by the host that drives its batch work.
type occupancy struct {
	total
	takenAt time.Time
}

// PeersInFlight returns the number of online requests that other hosts are known to have in flight at an upstream.
func (m *Membership) PeersInFlight(name string) int {
	if o := m.heardOccupancy(name); o != nil {
		return max(o.online-m.ownTotal(name).online, 0)
	}
	return m.peerTotals[name].online
}

// PeersBatch returns the number of batch requests that other hosts are known to have in flight at an upstream.
func (m *Membership) PeersBatch(name string) int {
	if o := m.heardOccupancy(name); o != nil {
		return max(o.batch-m.ownTotal(name).batch, 0)
	}
	return m.peerTotals[name].batch
}

// heardOccupancy returns the occupancy that the driver of an upstream sent, nil if this host has counts of its own.
func (m *Membership) heardOccupancy(name string) *occupancy {
	if len(m.counts[name]) > 0 {
		return nil
	}
	return m.occupancies[name]
}

// Occupancies sums the requests known here at each of the named upstreams.
func (m *Membership) Occupancies(now time.Time, names []string) []gossipmessage.Occupancy {
	var l []gossipmessage.Occupancy
	for _, n := range names {
		own, peers := m.ownTotal(n), m.peerTotals[n]
		o := gossipmessage.Occupancy{
			Upstream: n,
			Online:   own.online + peers.online,
			Batch:    own.batch + peers.batch,
		}
		o.Pace, o.PaceAge = m.paceNews(now, n)
		l = append(l, o)
	}
	return l
}

// Busy returns the upstreams at which this host or a peer that counts has requests.
func (m *Membership) Busy() []string {
	var l []string
	for n := range m.ownCounts {
		l = append(l, n)
	}
	for n := range m.counts {
		if m.ownCounts[n] == nil {
			l = append(l, n)
		}
	}
	return l
}

// applyOccupancy keeps an occupancy unless a later one is known.
func (m *Membership) applyOccupancy(sent time.Time, n gossipmessage.Occupancy) {
	if n.Age < 0 || n.Online < 0 || n.Batch < 0 {
		return
	}
	m.applyPace(sent, n.Upstream, n.Pace, n.PaceAge)
	o := &occupancy{total: total{n.Online, n.Batch}, takenAt: sent.Add(-n.Age)}
	old := m.occupancies[n.Upstream]
	if old == nil && len(m.occupancies) >= maxUpstreams || old != nil && old.takenAt.After(o.takenAt) {
		return
	}
	m.occupancies[n.Upstream] = o
	if old == nil || old.total != o.total {
		m.changedLoads[n.Upstream] = struct{}{}
	}
}

// pruneOccupancies removes occupancies whose driver has fallen silent.
func (m *Membership) pruneOccupancies(now time.Time) {
	for n, o := range m.occupancies {
		if now.Sub(o.takenAt) > CountExpiry {
			delete(m.occupancies, n)
			m.changedLoads[n] = struct{}{}
		}
	}
}
