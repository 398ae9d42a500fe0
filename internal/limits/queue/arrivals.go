package queue

import "time"

// arrivalSamples is the number of requests that are remembered of a rank.
const arrivalSamples = 64

// arrivals remembers the last requests of a rank, served or not.
type arrivals struct {
	ring [arrivalSamples]arrival
	next int
	n    int
}

// arrival is one request: when it came, the time that it could wait then, and its cost.
type arrival struct {
	at    time.Time
	slack time.Duration
	cost  int64
}

func (a *arrivals) add(v arrival) {
	a.ring[a.next] = v
	a.next = (a.next + 1) % arrivalSamples
	a.n = min(a.n+1, arrivalSamples)
}

// share returns the share of its service that a rank asks for, at most 1, given the time that a unit of cost takes.
func (a *arrivals) share(now time.Time, perUnit time.Duration) float64 {
	var cost int64
	oldest := now
	for _, v := range a.ring[:a.n] {
		cost += v.cost
		if v.at.Before(oldest) {
			oldest = v.at
		}
	}
	work := time.Duration(cost) * perUnit
	if span := now.Sub(oldest); span > work {
		return float64(work) / float64(span)
	}
	return 1
}

// overtaking returns how long the requests are likely to take that come while one with the given slack waits and, since they
// have less time, go before it.
func (a *arrivals) overtaking(now time.Time, perUnit, slack time.Duration) time.Duration {
	if a.n == 0 {
		return 0
	}
	var sum time.Duration
	for _, v := range a.ring[:a.n] {
		sum += max(slack-max(v.slack, 0), 0)
	}
	return time.Duration(a.share(now, perUnit) * float64(sum) / float64(a.n))
}
