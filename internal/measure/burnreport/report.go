package burnreport

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/span"
)

const (
	// FastBurn is the burn over the two shortest windows that calls for action at once.
	FastBurn = 6.0
	// SlowBurn is the burn over the second and third window that calls for action within the day.
	SlowBurn = 2.0

	fewestOwed = 20
)

// Report is what one or more hosts counted.
type Report struct {
	// Hosts names the hosts that counted.
	Hosts []string `json:"hosts"`
	// Missing names the hosts that could not be asked.
	Missing []string `json:"missing,omitempty"`
	// At is when the last of the hosts made its report.
	At time.Time `json:"at"`
	// Objective is the share of owed calls to be answered in time.
	Objective float64 `json:"objective"`
	// Windows are the lengths of the windows, shortest first.
	Windows []span.Span `json:"windows"`
	// Series are the counts by team and route.
	Series []Series `json:"series"`
	// Minutes are the answers of each upstream by minute, for the harm of batch work.
	Minutes []Minute `json:"minutes,omitempty"`
	// Dropped is the number of calls counted under no team and route for want of room.
	Dropped int64 `json:"dropped,omitempty"`
}

// Series are the counts of one team on one route.
type Series struct {
	// Team is the team, empty on an open route.
	Team string `json:"team"`
	// Route is the route, empty if none matched.
	Route string `json:"route,omitempty"`
	// Counts are the counts by window.
	Counts []Counts `json:"counts"`
}

// Minute is one minute of one upstream.
type Minute struct {
	// Upstream names the upstream.
	Upstream string `json:"upstream"`
	// Start is the number of the minute since 1970.
	Start int64 `json:"start"`
	// Answered is the number of online answers.
	Answered int64 `json:"answered,omitempty"`
	// Late is the number of late ones.
	Late int64 `json:"late,omitempty"`
	// Batch says that a batch call ran in that minute.
	Batch bool `json:"batch,omitempty"`
}

// Harm compares answers with batch work on the same upstream to those without.
type Harm struct {
	// Beside are the answers of minutes in which batch work ran on the upstream.
	Beside Counts `json:"beside"`
	// Alone are the answers of other minutes.
	Alone Counts `json:"alone"`
}

// Merge adds the reports of several hosts.
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

// Teams returns the series summed over routes, the fastest burning first.
func (r *Report) Teams() []Series {
	t := &Report{Windows: r.Windows}
	at := map[[2]string]int{}
	for _, s := range r.Series {
		s.Route = ""
		t.addSeries(at, []Series{s})
	}
	r.Sort(t.Series)
	return t.Series
}

// Whole returns the sum of all series.
func (r *Report) Whole() Series {
	w := Series{Counts: make([]Counts, len(r.Windows))}
	for _, s := range r.Series {
		for i, c := range s.Counts[:min(len(s.Counts), len(w.Counts))] {
			w.Counts[i].Add(c)
		}
	}
	return w
}

// Sort puts the series that were served worst over the second window first.
func (r *Report) Sort(l []Series) {
	slices.SortFunc(l, func(a, b Series) int {
		return cmp.Or(
			cmp.Compare(r.rank(b), r.rank(a)),
			cmp.Compare(b.last().BadShare(), a.last().BadShare()),
			cmp.Compare(a.Team, b.Team),
			cmp.Compare(a.Route, b.Route),
		)
	})
}

// rank returns the burn over the second window, or less than nothing if too few calls came.
func (r *Report) rank(s Series) float64 {
	if len(s.Counts) == 0 {
		return -1
	}
	c := s.Counts[min(1, len(s.Counts)-1)]
	if c.Owed() < fewestOwed {
		return -1
	}
	return c.Burn(r.Objective)
}

func (s Series) last() Counts {
	if len(s.Counts) == 0 {
		return Counts{}
	}
	return s.Counts[len(s.Counts)-1]
}

// Worst returns the worst-served team of the second window, if any had enough calls.
func (r *Report) Worst() (Series, bool) {
	l := r.Teams()
	if len(l) == 0 || r.rank(l[0]) < 0 {
		return Series{}, false
	}
	return l[0], true
}

// BudgetLeft returns the share of the error budget left over the longest window, below zero if overspent.
func (r *Report) BudgetLeft(s Series) float64 {
	return 1 - s.last().Burn(r.Objective)
}

// Alert returns "fast" or "slow" for a series that burns too fast, or nothing.
func (r *Report) Alert(s Series) string {
	switch {
	case r.over(s, 0, FastBurn):
		return "fast"
	case r.over(s, 1, SlowBurn):
		return "slow"
	}
	return ""
}

// over tells whether the burn over window i and the next one is at least that given.
func (r *Report) over(s Series, i int, burn float64) bool {
	if len(s.Counts) < i+2 {
		return false
	}
	a, b := s.Counts[i], s.Counts[i+1]
	return b.Owed() >= fewestOwed && a.Burn(r.Objective) >= burn && b.Burn(r.Objective) >= burn
}

// Harm returns how batch work changed the share of late answers.
func (r *Report) Harm() Harm {
	h := Harm{}
	for _, m := range r.Minutes {
		c := Counts{Answered: m.Answered, Late: m.Late}
		if m.Batch {
			h.Beside.Add(c)
		} else {
			h.Alone.Add(c)
		}
	}
	return h
}

// Check returns an error if the report can't be shown.
func (r *Report) Check() error {
	if len(r.Windows) < 2 || r.Objective <= 0 || r.Objective >= 1 {
		return errors.New("no burn report: two windows and an objective between 0 and 1 are needed")
	}
	for _, s := range r.Series {
		if len(s.Counts) != len(r.Windows) {
			return errors.Newf("team %q, route %q: %d counts for %d windows", s.Team, s.Route, len(s.Counts), len(r.Windows))
		}
	}
	return nil
}
