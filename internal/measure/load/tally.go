package load

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"sort"
	"sync"
	"time"

	"siskinrun/internal/base/span"
	"siskinrun/internal/measure/latency"
	"siskinrun/internal/measure/summary"
)

// tally counts the outcomes of one class and team.
type tally struct {
	mu      sync.Mutex
	sentN   int64
	right   int64
	refuse  map[string]int64
	first   *latency.Latency
	total   *latency.Latency
	between *latency.Latency
}

func newTally() *tally {
	return &tally{
		refuse:  map[string]int64{},
		first:   latency.NewLatency(),
		total:   latency.NewLatency(),
		between: latency.NewLatency(),
	}
}

func (t *tally) sent() {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sentN++
}

func (t *tally) refused(code string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.refuse[code]++
}

func (t *tally) answered(m *meter, total time.Duration) {
	t.first.Add(m.first)
	t.total.Add(total)
	for _, d := range m.between {
		t.between.Add(d)
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.right++
}

func (t *tally) fault(all *tallies, q *question, err error) {
	all.fault(fmt.Sprintf("%s of %s to %s: %v", q.class, q.team, q.host, err))
}

func (t *tally) merge(o *tally) {
	t.sentN += o.sentN
	t.right += o.right
	for k, n := range o.refuse {
		t.refuse[k] += n
	}
	t.first.Merge(o.first)
	t.total.Merge(o.total)
	t.between.Merge(o.between)
}

func (t *tally) class(name string) summary.Class {
	return summary.Class{
		Name:     name,
		Sent:     t.sentN,
		Answered: t.right,
		Refused:  t.refuse,
		First:    quantiles(t.first),
		Total:    quantiles(t.total),
		Between:  quantiles(t.between),
	}
}

func quantiles(l *latency.Latency) summary.Quantiles {
	return summary.Quantiles{
		P50:  span.Span(l.Quantile(0.5)),
		P95:  span.Span(l.Quantile(0.95)),
		P99:  span.Span(l.Quantile(0.99)),
		P999: span.Span(l.Quantile(0.999)),
	}
}

type place struct {
	class string
	team  string
}

// tallies are the tallies of a run by class and team.
type tallies struct {
	mu     sync.Mutex
	by     map[place]*tally
	faults []string
	count  int
}

func newTallies() *tallies {
	return &tallies{by: map[place]*tally{}}
}

func (a *tallies) of(q *question) *tally {
	a.mu.Lock()
	defer a.mu.Unlock()
	k := place{q.class, q.team}
	t := a.by[k]
	if t == nil {
		t = newTally()
		a.by[k] = t
	}
	return t
}

func (a *tallies) fault(what string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.count++
	if len(a.faults) < maxFaults {
		a.faults = append(a.faults, what)
	}
}

// fill writes the tallies into a summary, the worst-served team first.
func (a *tallies) fill(s *summary.Summary, d time.Duration) {
	classes := map[string]*tally{}
	for k, t := range a.by {
		c := classes[k.class]
		if c == nil {
			c = newTally()
			classes[k.class] = c
		}
		c.merge(t)
		if k.class == classOnline {
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
	s.Duration = span.Span(d)
	s.Faults = a.faults
	s.FaultCount = a.count
}

// wheel picks teams in proportion to their shares.
type wheel struct {
	teams []string
	ends  []float64
}

func newWheel(keys map[string]string, shares map[string]float64) *wheel {
	w := &wheel{}
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
		w.ends = append(w.ends, end)
	}
	return w
}

func (w *wheel) pick(r *rand.Rand) string {
	x := r.Float64() * w.ends[len(w.ends)-1]
	return w.teams[sort.SearchFloat64s(w.ends, x)]
}
