package burnpage_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/measure/burnpage"
	"siskinrun/internal/measure/burnreport"
)

// report has the given number of teams; each has step more late answers than the one before.
func report(teams int, step int64) *burnreport.Report {
	r := &burnreport.Report{Hosts: []string{"h"}, Objective: 0.95, Windows: []duration.Duration{1e9, 2e9}}
	for i := range teams {
		c := burnreport.Counts{Answered: 10000, Late: step * int64(i)}
		r.Series = append(r.Series, burnreport.Series{Team: fmt.Sprintf("team-%d", i), Counts: []burnreport.Counts{c, c}})
	}
	return r
}

func TestPage(t *testing.T) {
	for _, c := range []struct {
		teams int
		step  int64
	}{{0, 0}, {1, 0}, {1, 5}, {12, 0}, {12, 100}, {2000, 5}} {
		t.Run(fmt.Sprint(c.teams, "-", c.step), func(t *testing.T) {
			is := is.New(t)
			b := burnpage.NewView(report(c.teams, c.step))
			p, err := b.Page()
			is.NoErr(err)
			var h, w bytes.Buffer
			is.NoErr(p.Write(&h))
			is.NoErr(b.Print(&w))
			is.True(!strings.Contains(h.String(), "NaN"))
			worst := fmt.Sprintf("worst-served team: team-%d,", c.teams-1)
			is.Equal(strings.Contains(w.String(), worst), c.teams == 1 || c.step > 0)
			is.Equal(strings.Contains(h.String(), "<details>"), c.teams > b.MaxRows)
		})
	}
}
