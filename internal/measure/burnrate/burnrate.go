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
func (t *Tracker) Add(r callrecord.Record, contract route.Route) {
	if r.Batch {
		t.markBatch(r)
		return
	}
	c := classify(r, contract)
	if m := t.minuteOf(r.Upstream, r.EndedAt.Unix()/secondsPerMinute); m != nil {
		m.answered += c.answered
		m.late += c.late
	}
	s := t.seriesOf(seriesKey{r.Team, r.Route}, r.EndedAt)
	if s == nil {
		t.dropped++
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

// Report returns the counts of all windows as of now.
func (t *Tracker) Report(now time.Time) *burnreport.Report {
	r := &burnreport.Report{
		Hosts:     []string{t.Host},
		At:        now,
		Objective: t.Objective,
		Series:    make([]burnreport.Series, 0, len(t.series)),
		Dropped:   t.dropped,
	}
	for _, w := range windows {
		r.Windows = append(r.Windows, duration.Duration(w))
	}
	for k, s := range t.series {
		l := make([]burnreport.Counts, len(windows))
		for i, w := range windows {
			l[i] = s.sum(i, bucketNumber(now, w))
		}
		if l[longestWindow] != (burnreport.Counts{}) {
			r.Series = append(r.Series, burnreport.Series{Team: k.team, Route: k.route, Counts: l})
		}
	}
	r.SortWorstFirst(r.Series)
	r.Minutes = t.reportMinutes(now.Unix() / secondsPerMinute)
	return r
}
