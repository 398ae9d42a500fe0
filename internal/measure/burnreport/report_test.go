package burnreport_test

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/measure/burnreport"
)

func report(host string, a, b burnreport.Counts, batch bool) *burnreport.Report {
	return &burnreport.Report{
		Hosts:     []string{host},
		Objective: 0.95,
		Windows:   []duration.Duration{1, 2, 3},
		Series: []burnreport.Series{
			{Team: "a", Route: "x", Counts: []burnreport.Counts{a, a, a}},
			{Team: "a", Route: "y", Counts: []burnreport.Counts{a, a, a}},
			{Team: "b", Route: "x", Counts: []burnreport.Counts{{}, b, b}},
		},
		Minutes: []burnreport.Minute{{Upstream: "u", Start: 7, Answered: 10, Late: 4, Batch: batch}, {Upstream: host, Start: 7, Answered: 5}},
	}
}

func TestMerge(t *testing.T) {
	is := is.New(t)
	good := burnreport.Counts{Answered: 100, Late: 1, OverRate: 50, Rejected: 9}
	bad := burnreport.Counts{Answered: 80, Late: 20, Refused: 20}
	m := burnreport.Merge([]*burnreport.Report{report("one", good, bad, false), report("two", good, bad, true)})
	is.Equal(m.Hosts, []string{"one", "two"})
	is.Equal(len(m.Series), 3)
	w, ok := m.WorstTeam()
	is.True(ok)
	is.Equal(w.Team, "b")
	is.Equal(w.Counts[1].BadShare(), 0.4)
	is.Equal(m.Alert(w), "slow")
	is.True(m.BudgetLeft(w) < 0)
	l := m.Teams()
	is.Equal(l[1].Counts[0], burnreport.Counts{Answered: 400, Late: 4, OverRate: 200, Rejected: 36})
	is.Equal(m.Alert(l[1]), "")
	h := m.BatchImpact()
	is.Equal(h.WithBatch.LateShare(), 0.4)
	is.Equal(h.WithoutBatch.Answered, int64(10))
	r := burnreport.Merge([]*burnreport.Report{report("two", good, bad, true), report("one", good, bad, false)})
	is.Equal(r.BatchImpact(), h)
}
