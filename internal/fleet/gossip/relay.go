package gossip

import (
	"context"
	"sync"
	"time"

	"siskinrun/internal/data/gossipmessage"
)

const (
	// maxRelays bounds the queued occupancies.
	maxRelays = 2048
	// occupancyRenewal is the time after which a driver sends unchanged occupancies again, before they expire.
	occupancyRenewal = time.Second
)

// relayQueue holds the occupancies that this host passes on: those of the upstreams that it drives and, on a relay host, those
// that drivers and other relay hosts have sent.
//
// It serves a large fleet with most slots taken, where every host would know only its own calls and several would
// choose the same upstream while others are free.
type relayQueue struct {
	mu sync.Mutex
	// changed are the upstreams that this host drives whose occupancy has changed.
	changed   map[string]struct{}
	received  map[string]receivedOccupancy
	renewedAt time.Time
}

// receivedOccupancy is an occupancy and when this host received it.
type receivedOccupancy struct {
	gossipmessage.Occupancy
	at time.Time
	// remote says that another failure domain sent it.
	remote bool
}

// relayed are the occupancies to pass on.
type relayed struct {
	// changed are the upstreams that this host drives.
	changed []string
	// local and remote come from drivers of this failure domain and from other domains.
	local  []gossipmessage.Occupancy
	remote []gossipmessage.Occupancy
}

// add queues upstreams whose occupancy has changed.
func (r *relayQueue) add(names ...string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.changed == nil {
		r.changed = map[string]struct{}{}
	}
	for _, n := range names {
		r.changed[n] = struct{}{}
	}
}

// forward queues occupancies received now.
func (r *relayQueue) forward(now time.Time, l []gossipmessage.Occupancy, remote bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.received == nil {
		r.received = map[string]receivedOccupancy{}
	}
	for _, o := range l {
		if _, ok := r.received[o.Upstream]; ok || len(r.received) < maxRelays {
			r.received[o.Upstream] = receivedOccupancy{o, now, remote}
		}
	}
}

func (r *relayQueue) pending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.changed)+len(r.received) > 0
}

// renewalDue reports, once in each occupancyRenewal, that unchanged occupancies are to be sent again.
func (r *relayQueue) renewalDue(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.renewedAt) < occupancyRenewal {
		return false
	}
	r.renewedAt = now
	return true
}

// drain removes and returns what is queued, the received occupancies with their current ages.
func (r *relayQueue) drain(now time.Time) relayed {
	r.mu.Lock()
	defer r.mu.Unlock()
	var l relayed
	for n := range r.changed {
		l.changed = append(l.changed, n)
	}
	for _, o := range r.received {
		o.Age += now.Sub(o.at)
		if o.Pace > 0 {
			o.PaceAge += now.Sub(o.at)
		}
		if o.remote {
			l.remote = append(l.remote, o.Occupancy)
			continue
		}
		l.local = append(l.local, o.Occupancy)
	}
	clear(r.changed)
	clear(r.received)
	return l
}

// queueRenewals queues the occupied upstreams that this host drives, if their renewal is due.
func (s *Service) queueRenewals() {
	if s.Driver == nil || !s.relays.renewalDue(s.Timer.Now()) {
		return
	}
	s.mu.Lock()
	busy, small := s.membership.Busy(), s.membership.Small()
	s.mu.Unlock()
	if small {
		return
	}
	for _, n := range busy {
		if s.Driver(n) == s.Name {
			s.relays.add(n)
		}
	}
}

// sendRelays pushes the occupancies of the upstreams that this host drives to the relay host of its failure domain. The
// relay host pushes those of all drivers there to the other hosts of the domain and to the relay hosts of the others, and
// what it hears from these to its own domain.
func (s *Service) sendRelays(context.Context) {
	q := s.relays.drain(s.Timer.Now())
	s.mu.Lock()
	local := append(q.local, s.membership.Occupancies(s.Timer.Now(), q.changed)...)
	domain := s.membership.DomainPeers()
	s.mu.Unlock()
	if h := s.relayHost(); h != s.Name {
		if len(local) > 0 && h != "" {
			s.push(gossipmessage.Message{From: s.Name, Occupancies: local}, h)
		}
		return
	}
	if len(local)+len(q.remote) > 0 {
		s.push(gossipmessage.Message{From: s.Name, Occupancies: append(q.remote, local...)}, domain...)
	}
	if len(local) > 0 && s.RemoteRelayHosts != nil {
		s.push(gossipmessage.Message{From: s.Name, Occupancies: local}, s.RemoteRelayHosts()...)
	}
}

// relayHost returns the relay host of this failure domain, this host if none is set.
func (s *Service) relayHost() string {
	if s.RelayHost == nil {
		return s.Name
	}
	return s.RelayHost()
}

// queueReceived queues what this host passes on of a message: the upstreams that it drives with new counts and, on a relay
// host, the occupancies of drivers and of other relay hosts.
func (s *Service) queueReceived(from string, n gossipmessage.Message) {
	if s.Driver == nil {
		return
	}
	if originatedBy(n, from) {
		for _, c := range s.byDriver(n.Counts)[s.Name] {
			s.relays.add(c.Upstream)
		}
	}
	if len(n.Occupancies) == 0 || s.relayHost() != s.Name {
		return
	}
	s.mu.Lock()
	near := s.membership.SameDomain(from)
	s.mu.Unlock()
	s.relays.forward(s.Timer.Now(), n.Occupancies, !near)
}
