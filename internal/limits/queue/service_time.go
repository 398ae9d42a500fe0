package queue

import "time"

// serviceTime is a moving average of the time that a slot takes per unit of cost.
type serviceTime struct {
	seconds float64
	cost    float64
}

func (t *serviceTime) add(d time.Duration, cost int64) {
	t.seconds += d.Seconds() - t.seconds/serviceTimeSamples
	t.cost += float64(cost) - t.cost/serviceTimeSamples
}

// estimate returns how long a number of slots together take for a cost, at most maxWait.
func (t *serviceTime) estimate(cost int64, slots int) time.Duration {
	if t.cost == 0 {
		return 0
	}
	s := min(t.seconds/t.cost*float64(cost)/float64(slots), maxWait.Seconds())
	return time.Duration(s * float64(time.Second))
}
