package burn

import (
	"time"

	"siskinrun/internal/base/span"
	"siskinrun/internal/data/record"
	"siskinrun/internal/data/route"
	"siskinrun/internal/measure/burnreport"
)

const (
	// Objective is the share of owed calls to be answered in time.
	Objective = 0.95

	parts           = 6
	minutes         = 16
	maxSeries       = 10000
	maxUpstreams    = 4096
	overRate        = "rate-exceeded"
	callerGone      = "caller-gone"
	statusRefused   = 400
	statusTooMany   = 429
	statusTimeout   = 408
	statusServer    = 500
	secondsAMinute  = 60
	longestIsNumber = 3
)

var windows = [...]time.Duration{5 * time.Minute, time.Hour, 6 * time.Hour, 24 * time.Hour}

// Burn keeps the outcomes of online calls by team and route; it is not safe for concurrent use.
type Burn struct {
	// Host names this host in reports.
	Host string
	// Objective is the share of owed calls to be answered in time.
	Objective float64

	series    map[seriesKey]*series
	upstreams map[string]*[minutes]minute
	dropped   int64
}

type seriesKey struct {
	team  string
	route string
}

// part is one part of a window.
type part struct {
	number int64
	counts counts
}

type counts struct {
	answered, late, refused, overRate, rejected uint32
}

// series holds the parts of each window, of which each is written over when its time comes again.
type series [len(windows)][parts]part

// minute is one minute of an upstream.
type minute struct {
	number         int64
	answered, late uint32
	batch          bool
}

// NewBurn returns an empty count with the usual objective.
func NewBurn(host string) *Burn {
	return &Burn{
		Host:      host,
		Objective: Objective,
		series:    map[seriesKey]*series{},
		upstreams: map[string]*[minutes]minute{},
	}
}

// Add counts a finished call against the contract of its route.
func (b *Burn) Add(r record.Record, contract route.Route) {
	if r.Batch {
		b.addBatch(r)
		return
	}
	c := judge(r, contract)
	if m := b.minute(r.Upstream, r.At.Unix()/secondsAMinute); m != nil {
		m.answered += c.answered
		m.late += c.late
	}
	s := b.find(seriesKey{r.Team, r.Route}, r.At)
	if s == nil {
		b.dropped++
		return
	}
	for i, w := range windows {
		s.at(i, number(r.At, w)).add(c)
	}
}

// judge sorts a call into one outcome.
func judge(r record.Record, contract route.Route) counts {
	c := counts{}
	switch {
	case r.Code == "" && r.Status < statusRefused:
		c.answered = 1
		if late(r.First, contract.FirstToken) || late(r.Between, contract.BetweenTokens) {
			c.late = 1
		}
	case r.Code == overRate:
		c.overRate = 1
	case r.Code == callerGone || callersFault(r.Status):
		c.rejected = 1
	default:
		c.refused = 1
	}
	return c
}

func late(took time.Duration, contract span.Span) bool {
	return contract > 0 && took > contract.Duration()
}

func callersFault(status int) bool {
	return status >= statusRefused && status < statusServer && status != statusTooMany && status != statusTimeout
}

// addBatch marks the minutes in which a batch call ran.
func (b *Burn) addBatch(r record.Record) {
	end := r.At.Unix() / secondsAMinute
	start := r.At.Add(-r.Total+r.Waited).Unix() / secondsAMinute
	for n := max(start, end-minutes+1); n <= end; n++ {
		if m := b.minute(r.Upstream, n); m != nil {
			m.batch = true
		}
	}
}

// minute returns the count of one minute of an upstream, or nil if it is past or there is no room.
func (b *Burn) minute(upstream string, n int64) *minute {
	if upstream == "" {
		return nil
	}
	u := b.upstreams[upstream]
	if u == nil {
		if len(b.upstreams) >= maxUpstreams {
			b.sweepUpstreams(n)
		}
		if len(b.upstreams) >= maxUpstreams {
			return nil
		}
		u = &[minutes]minute{}
		b.upstreams[upstream] = u
	}
	m := &u[n%minutes]
	if m.number > n {
		return nil
	}
	if m.number < n {
		*m = minute{number: n}
	}
	return m
}

// sweepUpstreams forgets upstreams without a call in the minutes kept.
func (b *Burn) sweepUpstreams(now int64) {
	for name, u := range b.upstreams {
		idle := true
		for _, m := range u {
			idle = idle && m.number <= now-minutes
		}
		if idle {
			delete(b.upstreams, name)
		}
	}
}

// find returns the series of a team and route, or nil if there is no room.
func (b *Burn) find(k seriesKey, now time.Time) *series {
	s := b.series[k]
	if s != nil {
		return s
	}
	if len(b.series) >= maxSeries {
		b.sweep(now)
	}
	if len(b.series) >= maxSeries {
		return nil
	}
	s = &series{}
	b.series[k] = s
	return s
}

// sweep forgets series without a call in the longest window.
func (b *Burn) sweep(now time.Time) {
	n := number(now, windows[longestIsNumber])
	for k, s := range b.series {
		if s.sum(longestIsNumber, n) == (burnreport.Counts{}) {
			delete(b.series, k)
		}
	}
}

func number(t time.Time, window time.Duration) int64 {
	return t.UnixNano() / int64(window/parts)
}

// at returns the counts of one part, or a scrap if that part is past.
func (s *series) at(window int, n int64) *counts {
	p := &s[window][n%parts]
	if p.number > n {
		return &counts{}
	}
	if p.number < n {
		*p = part{number: n}
	}
	return &p.counts
}

func (s *series) sum(window int, now int64) burnreport.Counts {
	c := burnreport.Counts{}
	for _, p := range s[window] {
		if p.number > now-parts {
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

// Report returns the counts as of now.
func (b *Burn) Report(now time.Time) *burnreport.Report {
	r := &burnreport.Report{
		Hosts:     []string{b.Host},
		At:        now,
		Objective: b.Objective,
		Series:    make([]burnreport.Series, 0, len(b.series)),
		Dropped:   b.dropped,
	}
	for _, w := range windows {
		r.Windows = append(r.Windows, span.Span(w))
	}
	for k, s := range b.series {
		l := make([]burnreport.Counts, len(windows))
		for i, w := range windows {
			l[i] = s.sum(i, number(now, w))
		}
		if l[longestIsNumber] != (burnreport.Counts{}) {
			r.Series = append(r.Series, burnreport.Series{Team: k.team, Route: k.route, Counts: l})
		}
	}
	r.Sort(r.Series)
	r.Minutes = b.minutesAt(now.Unix() / secondsAMinute)
	return r
}

func (b *Burn) minutesAt(now int64) []burnreport.Minute {
	var l []burnreport.Minute
	for name, u := range b.upstreams {
		for _, m := range u {
			if m.number <= now-minutes || m.answered == 0 && !m.batch {
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
