package peak

import "time"

const (
	// Span is the time for which peaks are remembered.
	Span = buckets * bucketTime
	// Lag is the greatest age that a report which seems fresh is taken to have.
	Lag = 2 * time.Second
)

const (
	buckets    = 32
	bucketTime = 125 * time.Millisecond
	tolerance  = 250 * time.Millisecond
)

// Peak is the recent course of a count, as the most of each short interval, in constant memory.
type Peak struct {
	most  [buckets]int
	count int
	begun time.Time
	last  int
}

// Set takes in the count as it is now.
func (p *Peak) Set(n int, now time.Time) {
	p.advance(now)
	p.count = n
	p.most[p.last] = max(p.most[p.last], n)
}

// Around returns the most that the count was when a report was taken; one that seems fresh may be as old as Lag.
func (p *Peak) Around(taken, now time.Time) int {
	p.advance(now)
	age := max(now.Sub(taken), 0)
	from, to := age+tolerance, age-tolerance
	if to <= 0 {
		from, to = Lag, 0
	}
	last := min(int(from/bucketTime)+1, buckets-1)
	most := 0
	for i := min(int(to/bucketTime), buckets-1); i <= last; i++ {
		most = max(most, p.most[(p.last+buckets-i)%buckets])
	}
	return most
}

func (p *Peak) advance(now time.Time) {
	d := now.Sub(p.begun)
	if d < bucketTime {
		return
	}
	n := int(d / bucketTime)
	for range min(n, buckets) {
		p.last = (p.last + 1) % buckets
		p.most[p.last] = p.count
	}
	p.begun = p.begun.Add(time.Duration(n) * bucketTime)
	if n > buckets {
		p.begun = now
	}
}
