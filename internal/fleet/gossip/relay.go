package gossip

import (
	"context"
	"sync"
	"time"

	"siskinrun/internal/data/gossipmessage"
)

// maxRelays bounds the queued counts.
const maxRelays = 2048

// relayQueue holds the counts that a driver received directly, to relay them to the hosts that choose among its upstreams.
//
// It serves a large fleet with most slots taken, where every host would know only its own calls and several would
// choose the same upstream while others are free.
type relayQueue struct {
	mu     sync.Mutex
	counts map[relayKey]queuedCount
}

type relayKey struct {
	host     string
	upstream string
}

type queuedCount struct {
	count      gossipmessage.Count
	receivedAt time.Time
}

// add queues counts received now and keeps the newest of each host and upstream.
func (r *relayQueue) add(now time.Time, l []gossipmessage.Count) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[relayKey]queuedCount{}
	}
	for _, c := range l {
		k := relayKey{c.Origin.Host, c.Upstream}
		old, ok := r.counts[k]
		if ok && old.count.Origin.Boot == c.Origin.Boot && old.count.Origin.Sequence > c.Origin.Sequence {
			continue
		}
		if ok || len(r.counts) < maxRelays {
			r.counts[k] = queuedCount{c, now}
		}
	}
}

func (r *relayQueue) pending() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.counts) > 0
}

// drain removes and returns the counts with their current ages.
func (r *relayQueue) drain(now time.Time) []gossipmessage.Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := make([]gossipmessage.Count, 0, len(r.counts))
	for _, c := range r.counts {
		c.count.Age += now.Sub(c.receivedAt)
		l = append(l, c.count)
	}
	clear(r.counts)
	return l
}

// sendRelays pushes the counts at the upstreams that this host drives to the other hosts of its failure domain.
func (r *Service) sendRelays(context.Context) {
	l := r.relays.drain(r.Timer.Now())
	r.mu.Lock()
	to := r.membership.DomainPeers()
	r.mu.Unlock()
	if len(l) > 0 {
		r.push(gossipmessage.Message{From: r.Name, Counts: l}, to...)
	}
}
