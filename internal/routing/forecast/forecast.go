package forecast

import "time"

const (
	buckets    = 128
	bucketTime = 100 * time.Millisecond
	// minStep is the least difference between the least and the most load that counts as a step.
	minStep = 0.15
	// minTrough is the least length of a trough: shorter ones are noise about the middle of the step.
	minTrough = 300 * time.Millisecond
	// startShare is the share of a trough in which runs start that are longer than each trough, which would never start otherwise.
	startShare = 0.5
)

// Forecast holds the recent online load of a service as a share of its slots, in constant memory.
type Forecast struct {
	// loads are the averages of the latest buckets, the newest last.
	loads []float64
	start time.Time
	sum   float64
	count int
	// latest is the load that was observed last.
	latest float64
}

// Observe records the load at a time.
func (f *Forecast) Observe(load float64, now time.Time) {
	if f.start.IsZero() || now.Sub(f.start) > buckets*bucketTime {
		*f = Forecast{start: now, latest: load}
	}
	for now.Sub(f.start) >= bucketTime {
		l := f.latest
		if f.count > 0 {
			l = f.sum / float64(f.count)
		}
		f.loads = append(f.loads, l)
		f.loads = f.loads[max(len(f.loads)-buckets, 0):]
		f.start = f.start.Add(bucketTime)
		f.sum, f.count = 0, 0
	}
	f.latest = load
	f.sum += load
	f.count++
}

// Most returns the most load that is to be expected while a run of a given length that starts now goes on. It is the most of the
// last seconds unless the load is in a trough that, by the shortest trough before it, lasts as long as the run.
func (f *Forecast) Most(length time.Duration) float64 {
	if len(f.loads) == 0 {
		return 1
	}
	least, most := f.loads[0], f.loads[0]
	for _, l := range f.loads {
		least, most = min(least, l), max(most, l)
	}
	middle := (least + most) / 2
	if most-least < minStep || f.loads[len(f.loads)-1] >= middle {
		return most
	}
	shortest, since, low := f.troughs(middle)
	if length > shortest {
		length = time.Duration(startShare * float64(shortest))
	}
	if shortest == 0 || since+length > shortest {
		return most
	}
	return low
}

// troughs returns the length of the shortest whole trough below a level, zero if there is none, how long ago the present one
// began, and the most load in any of them, without the buckets in which the load rose or fell.
func (f *Forecast) troughs(level float64) (shortest, since time.Duration, low float64) {
	began := -1
	for i, l := range f.loads {
		switch {
		case l < level && i > 0 && f.loads[i-1] >= level:
			began = i
		case l >= level && began >= 0 && f.loads[i-1] < level:
			d := time.Duration(i-began) * bucketTime
			if d >= minTrough && (shortest == 0 || d < shortest) {
				shortest = d
			}
		}
		edge := i > 0 && f.loads[i-1] >= level || i+1 < len(f.loads) && f.loads[i+1] >= level
		if l < level && !edge {
			low = max(low, l)
		}
	}
	return shortest, time.Duration(len(f.loads)-max(began, 0)) * bucketTime, low
}
