package queue

import "time"

// pace is the time that a slot takes for a unit of cost, averaged over recent requests.
type pace struct {
	seconds float64
	cost    float64
}

func (p *pace) add(d time.Duration, cost int64) {
	p.seconds += d.Seconds() - p.seconds/paceMemory
	p.cost += float64(cost) - p.cost/paceMemory
}

func (p *pace) of(cost int64) time.Duration {
	if p.cost == 0 {
		return 0
	}
	s := min(p.seconds/p.cost*float64(cost), longestRetry.Seconds())
	return time.Duration(s * float64(time.Second))
}
