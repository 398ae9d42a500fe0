package peak

import "time"

const (
	// HistoryTime is the time for which maxima are kept.
	HistoryTime = buckets * bucketTime
	// MaxReportLag is the assumed maximum age of a report that appears fresh.
	MaxReportLag = 2 * time.Second
)

const (
	buckets    = 32
	bucketTime = 125 * time.Millisecond
	// matchTolerance is how far from a report's time, either way, MaxAround looks for the maximum.
	matchTolerance = 250 * time.Millisecond
)

// History holds the maximum of a count in each recent bucket of time, in constant memory.
type History struct {
	maxima      [buckets]int
	count       int
	bucketStart time.Time
	// current is the index of the present bucket in maxima.
	current int
}

// Set records the current count.
func (p *History) Set(n int, now time.Time) {
	p.advance(now)
	p.count = n
	p.maxima[p.current] = max(p.maxima[p.current], n)
}

// MaxAround returns the maximum of the count around the time at which a report was taken.
//
// A report that appears to be taken now may be up to MaxReportLag old, so all that time is covered.
func (p *History) MaxAround(taken, now time.Time) int {
	p.advance(now)
	age := max(now.Sub(taken), 0)
	from, to := age+matchTolerance, age-matchTolerance
	if to <= 0 {
		from, to = MaxReportLag, 0
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
