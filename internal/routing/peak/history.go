package peak

import "time"

const (
	// HistoryTime is the time for which maxima are kept.
	HistoryTime = buckets * bucketTime
	// ReportLagMax is the assumed maximum age of a report that appears fresh.
	ReportLagMax = 2 * time.Second
)

const (
	buckets    = 32
	bucketTime = 125 * time.Millisecond
	tolerance  = 250 * time.Millisecond
)

// History holds the maximum of a count in each recent bucket of time, in constant memory.
type History struct {
	maxima      [buckets]int
	count       int
	bucketStart time.Time
	current     int
}

// Set records the current count.
func (p *History) Set(n int, now time.Time) {
	p.advance(now)
	p.count = n
	p.maxima[p.current] = max(p.maxima[p.current], n)
}

// MaxAround returns the maximum of the count around the time taken; if taken appears to be now, it covers the last ReportLagMax.
func (p *History) MaxAround(taken, now time.Time) int {
	p.advance(now)
	age := max(now.Sub(taken), 0)
	from, to := age+tolerance, age-tolerance
	if to <= 0 {
		from, to = ReportLagMax, 0
	}
	last := min(int(from/bucketTime)+1, buckets-1)
	most := 0
	for i := min(int(to/bucketTime), buckets-1); i <= last; i++ {
		most = max(most, p.maxima[(p.current+buckets-i)%buckets])
	}
	return most
}

func (p *History) advance(now time.Time) {
	d := now.Sub(p.bucketStart)
	if d < bucketTime {
		return
	}
	n := int(d / bucketTime)
	for range min(n, buckets) {
		p.current = (p.current + 1) % buckets
		p.maxima[p.current] = p.count
	}
	p.bucketStart = p.bucketStart.Add(time.Duration(n) * bucketTime)
	if n > buckets {
		p.bucketStart = now
	}
}
