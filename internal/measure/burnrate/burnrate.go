package burnrate

import (
	"time"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/callrecord"
	"siskinrun/internal/data/route"
	"siskinrun/internal/measure/burnreport"
)

const (
	// DefaultObjective is the objective of a new tracker: the share of eligible calls to be answered in time.
	DefaultObjective = 0.95

	bucketsPerWindow      = 6
	minutesKept           = 16
	maxSeries             = 10000
	maxUpstreams          = 4096
	codeRateExceeded      = "rate-exceeded"
	codeCallerGone        = "caller-gone"
	minErrorStatus        = 400
	statusTooManyRequests = 429
	statusTimeout         = 408
	minServerErrorStatus  = 500
	secondsPerMinute      = 60
	longestWindow         = 3 // index in windows
)

var windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

// Tracker counts the outcomes of online calls by team and route. It is not safe for concurrent use.
type Tracker struct {
	// Host is the name of this host in reports.
	Host string
	// Objective is the share of eligible calls to be answered in time.
	Objective float64

	series    map[seriesKey]*series
	upstreams map[string]*[minutesKept]minute
	dropped   int64
}

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

// minute counts the online answers of an upstream in one minute and records whether batch calls ran.
type minute struct {
	number         int64
	answered, late uint32
	batch          bool
}

// NewTracker returns an empty tracker with the default objective.
func NewTracker(host string) *Tracker {
	return &Tracker{
		Host:      host,
		Objective: DefaultObjective,
		series:    map[seriesKey]*series{},
		upstreams: map[string]*[minutesKept]minute{},
	}
}

// Add counts a finished call against the latency contract of its route.
func (b *Tracker) Add(r callrecord.Record, contract route.Route) {
	if r.Batch {
		b.markBatch(r)
		return
	}
	c := classify(r, contract)
	if m := b.minuteOf(r.Upstream, r.EndedAt.Unix()/secondsPerMinute); m != nil {
		m.answered += c.answered
		m.late += c.late
	}
	s := b.seriesOf(seriesKey{r.Team, r.Route}, r.EndedAt)
	if s == nil {
		b.dropped++
		return
	}
	for i, w := range windows {
		s.countsAt(i, bucketNumber(r.EndedAt, w)).add(c)
	}
}

// classify returns the outcome of a call as a count of one.
func classify(r callrecord.Record, contract route.Route) counts {
	c := counts{}
	switch {
	case r.Code == "" && r.Status < minErrorStatus:
		c.answered = 1
		if exceeds(r.FirstByte, contract.FirstToken) || exceeds(r.MaxEventGap, contract.BetweenTokens) {
			c.late = 1
		}
	case r.Code == codeRateExceeded:
		c.overRate = 1
	case r.Code == codeCallerGone || isCallerError(r.Status):
		c.rejected = 1
	default:
		c.refused = 1
	}
	return c
}

func exceeds(took time.Duration, contract duration.Duration) bool {
	return contract > 0 && took > contract.Duration()
}

func isCallerError(status int) bool {
	return status >= minErrorStatus && status < minServerErrorStatus && status != statusTooManyRequests && status != statusTimeout
}

// markBatch marks the minutes in which a batch call ran.
func (b *Tracker) markBatch(r callrecord.Record) {
	end := r.EndedAt.Unix() / secondsPerMinute
	start := r.EndedAt.Add(-r.Total+r.Waited).Unix() / secondsPerMinute
	for n := max(start, end-minutesKept+1); n <= end; n++ {
		if m := b.minuteOf(r.Upstream, n); m != nil {
			m.batch = true
		}
	}
}

// minuteOf returns minute n of an upstream, or nil if it has been overwritten or the limit of upstreams is reached.
func (b *Tracker) minuteOf(upstream string, n int64) *minute {
	if upstream == "" {
		return nil
	}
	u := b.upstreams[upstream]
	if u == nil {
		if len(b.upstreams) >= maxUpstreams {
			b.evictIdleUpstreams(n)
		}
		if len(b.upstreams) >= maxUpstreams {
			return nil
		}
		u = &[minutesKept]minute{}
		b.upstreams[upstream] = u
	}
	m := &u[n%minutesKept]
	if m.number > n {
		return nil
	}
	if m.number < n {
		*m = minute{number: n}
	}
	return m
}

// evictIdleUpstreams removes upstreams without a call in the minutes kept.
func (b *Tracker) evictIdleUpstreams(now int64) {
	for name, u := range b.upstreams {
		idle := true
		for _, m := range u {
			idle = idle && m.number <= now-minutesKept
		}
		if idle {
			delete(b.upstreams, name)
		}
	}
}

// seriesOf returns the series of a team and route, or nil if the limit of series is reached.
func (b *Tracker) seriesOf(k seriesKey, now time.Time) *series {
	s := b.series[k]
	if s != nil {
		return s
	}
	if len(b.series) >= maxSeries {
		b.evictIdleSeries(now)
	}
	if len(b.series) >= maxSeries {
		return nil
	}
	s = &series{}
	b.series[k] = s
	return s
}

// evictIdleSeries removes series without a call in the longest window.
func (b *Tracker) evictIdleSeries(now time.Time) {
	n := bucketNumber(now, windows[longestWindow])
	for k, s := range b.series {
		if s.sum(longestWindow, n) == (burnreport.Counts{}) {
			delete(b.series, k)
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

// Report returns the counts of all windows as of now.
func (b *Tracker) Report(now time.Time) *burnreport.Report {
	r := &burnreport.Report{
		Hosts:     []string{b.Host},
		At:        now,
		Objective: b.Objective,
		Series:    make([]burnreport.Series, 0, len(b.series)),
		Dropped:   b.dropped,
	}
	for _, w := range windows {
		r.Windows = append(r.Windows, duration.Duration(w))
	}
	for k, s := range b.series {
		l := make([]burnreport.Counts, len(windows))
		for i, w := range windows {
			l[i] = s.sum(i, bucketNumber(now, w))
		}
		if l[longestWindow] != (burnreport.Counts{}) {
			r.Series = append(r.Series, burnreport.Series{Team: k.team, Route: k.route, Counts: l})
		}
	}
	r.SortWorstFirst(r.Series)
	r.Minutes = b.reportMinutes(now.Unix() / secondsPerMinute)
	return r
}

func (b *Tracker) reportMinutes(now int64) []burnreport.Minute {
	var l []burnreport.Minute
	for name, u := range b.upstreams {
		for _, m := range u {
			if m.number <= now-minutesKept || m.answered == 0 && !m.batch {
				continue
			}
			l = append(l, burnreport.Minute{
				Upstream: name,
				Start:    m.number,
				Answered: int64(m.answered),
				Late:     int64(m.late),
				Batch:    m.batch,
			})
		}
	}
	return l
}
