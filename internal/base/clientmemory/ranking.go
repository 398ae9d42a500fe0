package clientmemory

import (
	"cmp"
	"slices"
	"sort"
	"time"
)

const (
	// rankInterval is the time for each client that passes between two rankings, which bounds the cost to 100,000 clients a second.
	rankInterval = 10 * time.Microsecond
	// fewClients may be ranked at each decision.
	fewClients = 100
	// maxSkipped bounds how many clients of a ranking are passed over that have changed since.
	maxSkipped = 64
)

// ranking holds the clients that could be evicted at a time, first those that are evicted first.
type ranking struct {
	at        time.Time
	all       *queue
	byAddress map[string]*queue
	// byUse holds the clients by whether their connections are reserved.
	byUse map[bool]*queue
}

// queue is a part of a ranking.
type queue struct {
	clients []*client
	ranks   []float64
	// sums holds what the clients up to each one hold together.
	sums []int64
	// next is the index of the first client that was not evicted and had not changed.
	next int
}

// currentRanking returns the ranking, after ranking the clients anew if the last ranking is old for their number.
func (a *Account) currentRanking(now time.Time) *ranking {
	n := len(a.clients)
	if r := a.ranking; r != nil && n > fewClients && now.Sub(r.at) < time.Duration(n)*rankInterval && !now.Before(r.at) {
		return r
	}
	r := &ranking{at: now, all: &queue{}, byAddress: map[string]*queue{}, byUse: map[bool]*queue{false: {}, true: {}}}
	l := make([]*client, 0, n)
	for _, c := range a.clients {
		if !c.evicted && c.evictable(now) {
			c.ranked = c.rank(now)
			l = append(l, c)
		}
	}
	slices.SortFunc(l, func(x, y *client) int {
		return cmp.Or(cmp.Compare(y.ranked, x.ranked), cmp.Compare(x.id, y.id))
	})
	for _, c := range l {
		if r.byAddress[c.address] == nil {
			r.byAddress[c.address] = &queue{}
		}
		r.all.add(c)
		r.byAddress[c.address].add(c)
		r.byUse[c.reserved].add(c)
	}
	a.ranking = r
	a.Ranked += n
	return r
}

func (q *queue) add(c *client) {
	n := c.held
	if len(q.sums) > 0 {
		n += q.sums[len(q.sums)-1]
	}
	q.clients, q.ranks, q.sums = append(q.clients, c), append(q.ranks, c.ranked), append(q.sums, n)
}

// take returns the first clients that rank above c and hold enough together, at least one, or none if they hold too little.
func (q *queue) take(c *client, enough int64, r *ranking, now time.Time) []*client {
	if q == nil {
		return nil
	}
	own := c.rank(now)
	end := sort.Search(len(q.ranks), func(i int) bool { return q.ranks[i] <= own })
	if end <= q.next || q.sums[end-1]-q.before() < enough {
		return nil
	}
	var l []*client
	held, skipped := int64(0), 0
	for i := q.next; i < end && skipped < maxSkipped; i++ {
		o := q.clients[i]
		if o.changed(r.at, now) {
			if i == q.next {
				q.next++ // it can be evicted again after the next ranking
			} else {
				skipped++
			}
			continue
		}
		if o == c {
			continue
		}
		l = append(l, o)
		if held += o.held; held >= enough {
			return l
		}
	}
	return nil
}

// before returns what the clients before the next one held.
func (q *queue) before() int64 {
	if q.next == 0 {
		return 0
	}
	return q.sums[q.next-1]
}

// changed reports whether a client was evicted or closed since it was ranked, or made progress.
func (c *client) changed(ranked, now time.Time) bool {
	return c.evicted || c.closed || c.progress.After(ranked) || !c.evictable(now)
}
