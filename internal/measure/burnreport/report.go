package burnreport

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/duration"
)

const (
	// FastBurn is the burn rate over the two shortest windows that needs immediate action.
	FastBurn = 6.0
	// SlowBurn is the burn rate over the second and third window that needs action within the day.
	SlowBurn = 2.0

	// minEligible is the number of eligible calls that a window needs to be ranked or to raise an alert.
	minEligible = 20
)

// Report holds the counts of one or more hosts.
type Report struct {
	// Hosts names the hosts whose counts are included.
	Hosts []string `json:"hosts"`
	// Missing names the hosts that could not be queried.
	Missing []string `json:"missing,omitempty"`
	// At is the time of the latest report of a host.
	At time.Time `json:"at"`
	// Objective is the share of eligible calls to be answered in time.
	Objective float64 `json:"objective"`
	// Windows are the lengths of the windows, shortest first.
	Windows []duration.Duration `json:"windows"`
	// Series are the counts by team and route.
	Series []Series `json:"series"`
	// Minutes are the answers of each upstream by minute, to measure the impact of batch work.
	Minutes []Minute `json:"minutes,omitempty"`
	// Dropped is the number of calls missing from Series because the limit of series was reached.
	Dropped int64 `json:"dropped,omitempty"`
}

// Series holds the counts of one team on one route.
type Series struct {
	// Team is the team, empty on an open route.
	Team string `json:"team"`
	// Route is the route, empty if none matched.
	Route string `json:"route,omitempty"`
	// Counts are the counts by window.
	Counts []Counts `json:"counts"`
}

// Minute holds the answers of one upstream in one minute.
type Minute struct {
	// Upstream names the upstream.
	Upstream string `json:"upstream"`
	// Start is the number of minutes since the Unix epoch.
	Start int64 `json:"start"`
	// Answered is the number of online answers.
	Answered int64 `json:"answered,omitempty"`
	// Late is the number of late answers.
	Late int64 `json:"late,omitempty"`
	// Batch reports whether a batch call ran in that minute.
	Batch bool `json:"batch,omitempty"`
}

// BatchImpact compares the answers of upstreams with and without concurrent batch work.
type BatchImpact struct {
	// WithBatch are the answers of minutes in which batch work ran on the upstream.
	WithBatch Counts `json:"beside"`
	// WithoutBatch are the answers of other minutes.
	WithoutBatch Counts `json:"alone"`
}

// Merge sums the reports of several hosts.
func Merge(reports []*Report) *Report {
	m := &Report{}
	series := map[[2]string]int{}
	minutes := map[Minute]int{}
	for _, r := range reports {
		m.Hosts = append(m.Hosts, r.Hosts...)
		m.Missing = append(m.Missing, r.Missing...)
		m.Dropped += r.Dropped
		if r.At.After(m.At) {
			m.At = r.At
		}
		if len(m.Windows) == 0 {
			m.Windows, m.Objective = r.Windows, r.Objective
		}
		m.addSeries(series, r.Series)
		m.addMinutes(minutes, r.Minutes)
	}
	slices.Sort(m.Hosts)
	slices.Sort(m.Missing)
	return m
}

func (r *Report) addSeries(at map[[2]string]int, l []Series) {
	for _, s := range l {
		k := [2]string{s.Team, s.Route}
		i, ok := at[k]
		if !ok {
			i = len(r.Series)
			at[k] = i
			r.Series = append(r.Series, Series{s.Team, s.Route, make([]Counts, len(r.Windows))})
		}
		for w, c := range s.Counts[:min(len(s.Counts), len(r.Windows))] {
			r.Series[i].Counts[w].Add(c)
		}
	}
}

func (r *Report) addMinutes(at map[Minute]int, l []Minute) {
	for _, m := range l {
		k := Minute{Upstream: m.Upstream, Start: m.Start}
		i, ok := at[k]
		if !ok {
			i = len(r.Minutes)
			at[k] = i
			r.Minutes = append(r.Minutes, k)
		}
		e := &r.Minutes[i]
		e.Answered += m.Answered
		e.Late += m.Late
		e.Batch = e.Batch || m.Batch
	}
}

// Teams returns the series summed over routes, the highest burn rate first.
func (r *Report) Teams() []Series {
	t := &Report{Windows: r.Windows}
	at := map[[2]string]int{}
	for _, s := range r.Series {
		s.Route = ""
		t.addSeries(at, []Series{s})
	}
	r.SortWorstFirst(t.Series)
	return t.Series
}

// Total returns the sum of all series.
func (r *Report) Total() Series {
	w := Series{Counts: make([]Counts, len(r.Windows))}
	for _, s := range r.Series {
		for i, c := range s.Counts[:min(len(s.Counts), len(w.Counts))] {
			w.Counts[i].Add(c)
		}
	}
	return w
}

// SortWorstFirst sorts series by burn rate over the second window, highest first.
func (r *Report) SortWorstFirst(l []Series) {
	slices.SortFunc(l, func(a, b Series) int {
		return cmp.Or(
			cmp.Compare(r.sortKey(b), r.sortKey(a)),
			cmp.Compare(b.longest().BadShare(), a.longest().BadShare()),
			cmp.Compare(a.Team, b.Team),
			cmp.Compare(a.Route, b.Route),
		)
	})
}

// sortKey returns the burn rate over the second window, or -1 if there are too few eligible calls.
func (r *Report) sortKey(s Series) float64 {
	if len(s.Counts) == 0 {
		return -1
	}
	c := s.Counts[min(1, len(s.Counts)-1)]
	if c.Eligible() < minEligible {
		return -1
	}
	return c.BurnRate(r.Objective)
}

func (s Series) longest() Counts {
	if len(s.Counts) == 0 {
		return Counts{}
	}
	return s.Counts[len(s.Counts)-1]
}

// WorstTeam returns the team with the highest burn rate over the second window, if any had enough calls.
func (r *Report) WorstTeam() (Series, bool) {
	l := r.Teams()
	if len(l) == 0 || r.sortKey(l[0]) < 0 {
		return Series{}, false
	}
	return l[0], true
}

// BudgetLeft returns the share of the error budget left over the longest window, below zero if overspent.
func (r *Report) BudgetLeft(s Series) float64 {
	return 1 - s.longest().BurnRate(r.Objective)
}

// Alert returns "fast" or "slow" if the series exceeds FastBurn or SlowBurn, or else "".
func (r *Report) Alert(s Series) string {
	switch {
	case r.exceeds(s, 0, FastBurn):
		return "fast"
	case r.exceeds(s, 1, SlowBurn):
		return "slow"
	}
	return ""
}

// exceeds reports whether the burn rate is at least burn over window i and over the next one.
func (r *Report) exceeds(s Series, i int, burn float64) bool {
	if len(s.Counts) < i+2 {
		return false
	}
	a, b := s.Counts[i], s.Counts[i+1]
	return b.Eligible() >= minEligible && a.BurnRate(r.Objective) >= burn && b.BurnRate(r.Objective) >= burn
}

// BatchImpact sums the answers of minutes with and without batch work.
func (r *Report) BatchImpact() BatchImpact {
	h := BatchImpact{}
	for _, m := range r.Minutes {
		c := Counts{Answered: m.Answered, Late: m.Late}
		if m.Batch {
			h.WithBatch.Add(c)
		} else {
			h.WithoutBatch.Add(c)
		}
	}
	return h
}

// Validate returns an error if the report is incomplete.
func (r *Report) Validate() error {
	if len(r.Windows) < 2 || r.Objective <= 0 || r.Objective >= 1 {
		return errors.New("invalid burn report: it needs at least two windows and an objective between 0 and 1")
	}
	for _, s := range r.Series {
		if len(s.Counts) != len(r.Windows) {
			return errors.Newf("team %q, route %q: %d counts for %d windows", s.Team, s.Route, len(s.Counts), len(r.Windows))
		}
	}
	return nil
}
