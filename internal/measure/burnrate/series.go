package burnrate

import (
	"time"

	"siskinrun/internal/measure/burnreport"
)

type seriesKey struct {
	team  string
	route string
}

// bucket counts the outcomes of one part of a window.
type bucket struct {
	number int64
	counts counts
}

type counts struct {
	answered, late, refused, overRate, rejected uint32
}

// series holds a ring of buckets for each window; a newer bucket overwrites the oldest one.
type series [len(windows)][bucketsPerWindow]bucket

// seriesOf returns the series of a team and route, or nil if the limit of series is reached.
func (t *Tracker) seriesOf(k seriesKey, now time.Time) *series {
	s := t.series[k]
	if s != nil {
		return s
	}
	if len(t.series) >= maxSeries {
		t.evictIdleSeries(now)
	}
	if len(t.series) >= maxSeries {
		return nil
	}
	s = &series{}
	t.series[k] = s
	return s
}

// evictIdleSeries removes series without a call in the longest window.
func (t *Tracker) evictIdleSeries(now time.Time) {
	n := bucketNumber(now, windows[longestWindow])
	for k, s := range t.series {
		if s.sum(longestWindow, n) == (burnreport.Counts{}) {
			delete(t.series, k)
		}
	}
}

func bucketNumber(t time.Time, window time.Duration) int64 {
	return t.UnixNano() / int64(window/bucketsPerWindow)
}

// countsAt returns the counts of bucket n, or counts to discard if a newer bucket has overwritten it.
func (s *series) countsAt(window int, n int64) *counts {
	p := &s[window][n%bucketsPerWindow]
	if p.number > n {
		return &counts{}
	}
	if p.number < n {
		*p = bucket{number: n}
	}
	return &p.counts
}

func (s *series) sum(window int, now int64) burnreport.Counts {
	c := burnreport.Counts{}
	for _, p := range s[window] {
		if p.number > now-bucketsPerWindow {
			c.Add(p.counts.report())
		}
	}
	return c
}

func (c *counts) add(d counts) {
	c.answered += d.answered
	c.late += d.late
	c.refused += d.refused
	c.overRate += d.overRate
	c.rejected += d.rejected
}

func (c counts) report() burnreport.Counts {
	return burnreport.Counts{
		Answered: int64(c.answered),
		Late:     int64(c.late),
		Refused:  int64(c.refused),
		OverRate: int64(c.overRate),
		Rejected: int64(c.rejected),
	}
}
