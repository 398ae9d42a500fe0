package loadgen

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/measure/latency"
	"siskinrun/internal/measure/summary"
)

// classStats holds the outcomes and latencies of one class and team.
type classStats struct {
	mu        sync.Mutex
	sentCount int64
	correct   int64
	refusals  map[string]int64
	first     *latency.Histogram
	total     *latency.Histogram
	between   *latency.Histogram
}

func newClassStats() *classStats {
	return &classStats{
		refusals: map[string]int64{},
		first:    latency.NewHistogram(),
		total:    latency.NewHistogram(),
		between:  latency.NewHistogram(),
	}
}

func (s *classStats) addSent() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sentCount++
}

func (s *classStats) addRefusal(code string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refusals[code]++
}

func (s *classStats) addAnswer(m *tokenTimer, total time.Duration) {
	s.first.Add(m.first)
	s.total.Add(total)
	for _, d := range m.between {
		s.between.Add(d)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.correct++
}

func (s *classStats) addFault(all *runStats, q *request, err error) {
	all.addFault(fmt.Sprintf("%s of %s to %s: %v", q.class, q.team, q.host, err))
}

func (s *classStats) merge(o *classStats) {
	s.sentCount += o.sentCount
	s.correct += o.correct
	for k, n := range o.refusals {
		s.refusals[k] += n
	}
	s.first.Merge(o.first)
	s.total.Merge(o.total)
	s.between.Merge(o.between)
}

func (s *classStats) class(name string) summary.Class {
	return summary.Class{
		Name:     name,
		Sent:     s.sentCount,
		Answered: s.correct,
		Refused:  s.refusals,
		First:    quantiles(s.first),
		Total:    quantiles(s.total),
		Between:  quantiles(s.between),
	}
}

func quantiles(l *latency.Histogram) summary.Quantiles {
	return summary.Quantiles{
		P50:  duration.Duration(l.Quantile(0.5)),
		P95:  duration.Duration(l.Quantile(0.95)),
		P99:  duration.Duration(l.Quantile(0.99)),
		P999: duration.Duration(l.Quantile(0.999)),
	}
}

type statsKey struct {
	class string
	team  string
}

// runStats holds the statistics of a run by class and team, and its faults.
type runStats struct {
	mu         sync.Mutex
	byKey      map[statsKey]*classStats
	faults     []string
	faultCount int
}

func newRunStats() *runStats {
	return &runStats{byKey: map[statsKey]*classStats{}}
}

func (a *runStats) statsOf(q *request) *classStats {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := statsKey{q.class, q.team}
	t := a.byKey[k]
	if t == nil {
		t = newClassStats()
		a.byKey[k] = t
	}
	return t
}

func (a *runStats) addFault(what string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.faultCount++
	if len(a.faults) < maxListedFaults {
		a.faults = append(a.faults, what)
	}
}

// fillSummary copies the statistics into a summary, the team with the highest p99 first.
func (a *runStats) fillSummary(s *summary.Summary, d time.Duration) {
	classes := map[string]*classStats{}
	for k, t := range a.byKey {
		c := classes[k.class]
		if c == nil {
			c = newClassStats()
			classes[k.class] = c
		}
		c.merge(t)
		if k.class == classCompletion {
			s.Teams = append(s.Teams, t.class(k.team))
		}
	}
	for n, t := range classes {
		s.Classes = append(s.Classes, t.class(n))
	}
	slices.SortFunc(s.Classes, func(x, y summary.Class) int { return cmp.Compare(x.Name, y.Name) })
	slices.SortFunc(s.Teams, func(x, y summary.Class) int {
		return cmp.Or(cmp.Compare(y.First.P99, x.First.P99), cmp.Compare(x.Name, y.Name))
	})
	s.Duration = duration.Duration(d)
	s.Faults = a.faults
	s.FaultCount = a.faultCount
}

// teamPicker picks random teams in proportion to their shares.
type teamPicker struct {
	teams      []string
	cumulative []float64
}

func newTeamPicker(keys map[string]string, shares map[string]float64) *teamPicker {
	w := &teamPicker{}
	for t := range keys {
		w.teams = append(w.teams, t)
	}
	sort.Strings(w.teams)
	end := 0.0
	for _, t := range w.teams {
		s, ok := shares[t]
		if !ok {
			s = 1
		}
		end += s
		w.cumulative = append(w.cumulative, end)
	}
	return w
}

func (t *teamPicker) pick(r *rand.Rand) string {
	x := r.Float64() * t.cumulative[len(t.cumulative)-1]
	return t.teams[sort.SearchFloat64s(t.cumulative, x)]
}
