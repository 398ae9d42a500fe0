package roster

import (
	"context"
	"sync"
	"time"

	"siskinrun/internal/data/news"
)

// maxRelays bounds the counts that wait to be passed on.
const maxRelays = 2048

// relays holds the counts that a driver heard at first hand, for the hosts that choose among its upstreams.
//
// The load that this answers is a large fleet with most slots taken: every host knows its own calls alone, and
// several choose the same upstream while others are free.
type relays struct {
	mu     sync.Mutex
	counts map[relayKey]relayed
}

type relayKey struct {
	host     string
	upstream string
}

type relayed struct {
	count news.Count
	heard time.Time
}

// add takes in counts that were heard now, the newest of each host and upstream.
func (r *relays) add(now time.Time, l []news.Count) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.counts == nil {
		r.counts = map[relayKey]relayed{}
	}
	for _, c := range l {
		k := relayKey{c.Origin.Host, c.Upstream}
		old, ok := r.counts[k]
		if ok && old.count.Origin.Boot == c.Origin.Boot && old.count.Origin.Sequence > c.Origin.Sequence {
			continue
		}
		if ok || len(r.counts) < maxRelays {
			r.counts[k] = relayed{c, now}
		}
	}
}

func (r *relays) any() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.counts) > 0
}

// take returns the counts with their present ages and forgets them.
func (r *relays) take(now time.Time) []news.Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	l := make([]news.Count, 0, len(r.counts))
	for _, c := range r.counts {
		c.count.Age += now.Sub(c.heard)
		l = append(l, c.count)
	}
	clear(r.counts)
	return l
}

// relay passes the counts at the upstreams that this host drives on to its neighbours.
func (r *Roster) relay(context.Context) {
	l := r.relays.take(r.Timer.Now())
	r.mu.Lock()
	to := r.membership.Neighbours()
	r.mu.Unlock()
	if len(l) > 0 {
		r.tell(news.News{From: r.Name, Counts: l}, to...)
	}
}
