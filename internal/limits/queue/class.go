package queue

import (
	"cmp"
	"slices"
	"time"

	"siskinrun/internal/limits/wfq"
)

const (
	// leastShare is the part of its even share that a rank keeps while higher ones fill the service: no team is to be served
	// less than a quarter as often as all, whatever its rank.
	leastShare = 0.25
	// recentWeight is the weight of one request in the shares of the ranks among the recent requests.
	recentWeight = 1.0 / 256
	// forgottenShare is the share below which a rank without waiting requests is forgotten.
	forgottenShare = recentWeight / 1000
)

// class holds the waiting requests of one rank.
type class struct {
	rank    int
	waiting wfq.Queue[*waiter]
	// arrivals are the last requests of the rank, and recent its share among the recent requests of all ranks.
	arrivals arrivals
	recent   float64
	// credit is what has accrued of the next request that is served before higher ranks.
	credit float64
}

// class returns the class of a rank.
func (q *Queue) class(rank int) *class {
	i, ok := slices.BinarySearchFunc(q.classes, rank, func(c *class, r int) int { return cmp.Compare(c.rank, r) })
	if ok {
		return q.classes[i]
	}
	c := &class{rank: rank}
	c.waiting.MaxPerTeam = cmp.Or(q.MaxPerTeam, DefaultMaxPerTeam)
	c.waiting.MaxItems = cmp.Or(q.MaxWaiting, DefaultMaxWaiting)
	q.classes = slices.Insert(q.classes, i, c)
	return c
}

// arrived counts a request of a class, and forgets ranks that have not come for long.
func (q *Queue) arrived(c *class, a arrival) {
	c.arrivals.add(a)
	for _, o := range q.classes {
		o.recent *= 1 - recentWeight
	}
	c.recent += recentWeight
	q.classes = slices.DeleteFunc(q.classes, func(o *class) bool {
		return o.recent < forgottenShare && o.waiting.Len() == 0
	})
}

// keptShare returns the share of the service that a class keeps while higher ones wait.
func (q *Queue) keptShare(c *class) float64 {
	all := 0.0
	for _, o := range q.classes {
		all += o.recent
	}
	if all == 0 {
		return 0
	}
	return leastShare * c.recent / all
}

// pop removes the request that is served next: that of the highest rank, unless it is the turn of one below.
func (q *Queue) pop() (*waiter, bool) {
	var next *class
	for _, c := range q.classes {
		if c.waiting.Len() == 0 {
			c.credit = 0
			continue
		}
		if next == nil {
			next = c
			continue
		}
		c.credit += q.keptShare(c)
		if c.credit >= 1 {
			c.credit--
			next = c
			break
		}
	}
	if next == nil {
		return nil, false
	}
	return next.waiting.Pop()
}

// estimateWait returns how long a request of a class is likely to wait, given the cost ahead of it in its class and what the
// requests that come meanwhile with a higher rank take.
func (q *Queue) estimateWait(c *class, ahead int64, outranked func(wait time.Duration) time.Duration) time.Duration {
	higher, lower := int64(0), 0.0
	for _, o := range q.classes {
		switch {
		case o.waiting.Len() == 0:
		case o.rank < c.rank:
			higher += o.waiting.Cost()
		case o.rank > c.rank:
			lower += q.keptShare(o)
		}
	}
	w := scale(q.time(higher+ahead), 1/(1-lower))
	w += outranked(w)
	if kept := q.keptShare(c); higher > 0 && kept > 0 {
		w = min(w, scale(q.time(ahead+1), 1/kept))
	}
	return w
}

// unchanged is for estimates by what waits now.
func unchanged(time.Duration) time.Duration { return 0 }

// outranking returns how long the requests are likely to take that come with a higher rank while one of a class waits. That
// requests wait for slots is taken to last for as long again as it has lasted.
func (q *Queue) outranking(now time.Time, c *class, wait time.Duration) time.Duration {
	share := 0.0
	for _, o := range q.classes {
		if o.rank < c.rank {
			share += o.arrivals.share(now, q.time(1))
		}
	}
	most := scale(now.Sub(q.waitingSince), min(share, 1))
	if share >= 1 {
		return most
	}
	return min(scale(wait, share/(1-share)), most)
}

// time returns how long the slots that this host is likely to have together take for a cost.
func (q *Queue) time(cost int64) time.Duration {
	n := q.slots.likely()
	if n <= 0 {
		return maxWait
	}
	return q.serviceTime.estimate(cost, n)
}

// scale returns a multiple of a duration, at most maxWait.
func scale(d time.Duration, f float64) time.Duration {
	return time.Duration(min(float64(d)*f, float64(maxWait)))
}
