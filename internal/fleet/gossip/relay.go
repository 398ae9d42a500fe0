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

// relayQueue holds the occupancies that this host passes on: those of the upstreams that it drives, and those that the
// driver of another failure domain sent.
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

type receivedOccupancy struct {
	gossipmessage.Occupancy
	at time.Time
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
func (r *relayQueue) forward(now time.Time, l []gossipmessage.Occupancy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.received == nil {
		r.received = map[string]receivedOccupancy{}
	}
	for _, o := range l {
		if _, ok := r.received[o.Upstream]; ok || len(r.received) < maxRelays {
			r.received[o.Upstream] = receivedOccupancy{o, now}
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

// drain removes and returns the changed upstreams, and the received occupancies with their current ages.
func (r *relayQueue) drain(now time.Time) (changed []string, received []gossipmessage.Occupancy) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for n := range r.changed {
		changed = append(changed, n)
	}
	for _, o := range r.received {
		o.Age += now.Sub(o.at)
		received = append(received, o.Occupancy)
	}
	clear(r.changed)
	clear(r.received)
	return changed, received
}

// queueRenewals queues the occupied upstreams that this host drives, if their renewal is due.
func (r *Service) queueRenewals() {
	if r.Driver == nil || !r.relays.renewalDue(r.Timer.Now()) {
		return
	}
	r.mu.Lock()
	busy, small := r.membership.Busy(), r.membership.Small()
	r.mu.Unlock()
	if small {
		return
	}
	for _, n := range busy {
		if r.Driver(n) == r.Name {
			r.relays.add(n)
		}
	}
}

// sendRelays pushes the occupancies of the upstreams that this host drives to the other hosts of its failure domain and to
// one driver of each other domain, and those of other domains to its own.
func (r *Service) sendRelays(context.Context) {
	names, received := r.relays.drain(r.Timer.Now())
	r.mu.Lock()
	own := r.membership.Occupancies(names)
	domain := r.membership.DomainPeers()
	r.mu.Unlock()
	if len(own)+len(received) > 0 {
		r.push(gossipmessage.Message{From: r.Name, Occupancies: append(received, own...)}, domain...)
	}
	if len(own) > 0 && r.RemoteDrivers != nil {
		r.push(gossipmessage.Message{From: r.Name, Occupancies: own}, r.RemoteDrivers()...)
	}
}

// queueReceived queues what a driver passes on of a message: its own upstreams with new counts, and the occupancies of
// another failure domain.
func (r *Service) queueReceived(from string, n gossipmessage.Message) {
	if r.Driver == nil {
		return
	}
	if originatedBy(n, from) {
		for _, c := range r.byDriver(n.Counts)[r.Name] {
			r.relays.add(c.Upstream)
		}
	}
	r.mu.Lock()
	near := r.membership.SameDomain(from)
	r.mu.Unlock()
	if !near && len(n.Occupancies) > 0 {
		r.relays.forward(r.Timer.Now(), n.Occupancies)
	}
}
