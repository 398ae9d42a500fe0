package burnpage

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"siskinrun/internal/measure/burnreport"
	"siskinrun/internal/measure/chart"
	"siskinrun/internal/measure/page"
)

const (
	most       = 20
	percent    = 100
	noTeam     = "(open)"
	noRoute    = "(none)"
	slowWindow = 1
)

// BurnPage shows one report.
type BurnPage struct {
	// Report is what is shown.
	Report *burnreport.Report
	// Most is the number of teams and series shown whole.
	Most int
}

// NewBurnPage returns a view of a report.
func NewBurnPage(r *burnreport.Report) *BurnPage {
	return &BurnPage{Report: r, Most: most}
}

// Print writes the report as text.
func (b *BurnPage) Print(w io.Writer) error {
	r := b.Report
	for _, l := range b.facts() {
		fmt.Fprintln(w, l)
	}
	teams := r.Teams()
	series := append([]burnreport.Series(nil), r.Series...)
	r.Sort(series)
	for _, t := range []struct {
		title string
		rows  [][]string
	}{
		{"teams, worst first", b.rows(teams, false)},
		{"teams and routes, worst first", b.rows(series, true)},
	} {
		shown := t.rows[:min(len(t.rows), b.Most)]
		fmt.Fprintf(w, "\n%s (%d of %d)\n", t.title, len(shown), len(t.rows))
		if err := table(w, b.columns(), shown); err != nil {
			return err
		}
	}
	return nil
}

func table(w io.Writer, columns []string, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, strings.Join(columns, "\t")+"\t")
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t")+"\t")
	}
	return t.Flush()
}

// facts are the sentences that head the report.
func (b *BurnPage) facts() []string {
	r := b.Report
	whole := r.Whole()
	l := []string{
		fmt.Sprintf("burn at %s from %d hosts, objective %.4g in 100 calls within the rate answered in time",
			r.At.UTC().Format(time.RFC3339), len(r.Hosts), percent*r.Objective),
		fmt.Sprintf("whole fleet: burn %s, budget left %s", b.burns(whole), share(r.BudgetLeft(whole))),
	}
	if w, ok := r.Worst(); ok {
		l = append(l, fmt.Sprintf("worst-served team: %s, burn %s, budget left %s",
			named(w.Team, noTeam), b.burns(w), share(r.BudgetLeft(w))))
	} else {
		l = append(l, "worst-served team: none had enough calls within the second window")
	}
	h := r.Harm()
	l = append(l, fmt.Sprintf("late answers of the last minutes: %s of %d beside batch work on the same upstream, %s of %d without",
		share(h.Beside.LateShare()), h.Beside.Answered, share(h.Alone.LateShare()), h.Alone.Answered))
	if len(r.Missing) > 0 {
		l = append(l, fmt.Sprintf("%d hosts did not answer: %s", len(r.Missing), strings.Join(r.Missing, ", ")))
	}
	if r.Dropped > 0 {
		l = append(l, fmt.Sprintf("%d calls are not counted, for want of room", r.Dropped))
	}
	return l
}

func (b *BurnPage) burns(s burnreport.Series) string {
	var l []string
	for i, c := range s.Counts {
		l = append(l, fmt.Sprintf("%.2f in %s", c.Burn(b.Report.Objective), short(b.Report.Windows[i].Duration())))
	}
	return strings.Join(l, ", ")
}

func (b *BurnPage) columns() []string {
	l := []string{"team", "route", "alert"}
	for _, w := range b.Report.Windows {
		l = append(l, "burn "+short(w.Duration()))
	}
	return append(l, "budget left", "owed", "late", "refused", "over rate", "rejected")
}

func (b *BurnPage) rows(l []burnreport.Series, routes bool) [][]string {
	r := b.Report
	rows := make([][]string, 0, len(l))
	for _, s := range l {
		route := ""
		if routes {
			route = named(s.Route, noRoute)
		}
		row := []string{named(s.Team, noTeam), route, r.Alert(s)}
		for _, c := range s.Counts {
			row = append(row, fmt.Sprintf("%.2f", c.Burn(r.Objective)))
		}
		c := s.Counts[len(s.Counts)-1]
		row = append(row, share(r.BudgetLeft(s)), itoa(c.Owed()), itoa(c.Late), itoa(c.Refused), itoa(c.OverRate), itoa(c.Rejected))
		rows = append(rows, row)
	}
	return rows
}

// Page returns the report as a page.
func (b *BurnPage) Page() (*page.Page, error) {
	r := b.Report
	teams := r.Teams()
	series := append([]burnreport.Series(nil), r.Series...)
	r.Sort(series)
	worst, err := b.worst(teams)
	if err != nil {
		return nil, err
	}
	spread, err := b.spread(teams)
	if err != nil {
		return nil, err
	}
	p := &page.Page{Title: "Service-level burn"}
	for i, f := range b.facts() {
		s := page.Section{Text: f}
		if i == 0 {
			s.Heading = "Summary"
		}
		p.Sections = append(p.Sections, s)
	}
	p.Sections = append(p.Sections,
		page.Section{Heading: fmt.Sprintf("Worst %d of %d teams", min(b.Most, len(teams)), len(teams)), Charts: worst},
		page.Section{Heading: fmt.Sprintf("All %d teams", len(teams)), Charts: spread},
		page.Section{Heading: "Teams", Columns: b.columns(), Rows: b.rows(teams, false), Folded: len(teams) > b.Most},
		page.Section{Heading: "Teams and routes", Columns: b.columns(), Rows: b.rows(series, true), Folded: len(series) > b.Most},
	)
	return p, nil
}

// worst draws the burn of the worst-served teams in every window.
func (b *BurnPage) worst(teams []burnreport.Series) ([]page.Drawing, error) {
	l := teams[:min(len(teams), b.Most)]
	if len(l) == 0 {
		return nil, nil
	}
	c := chart.NewChart("Burn by window; above 1 the budget is overspent", "burn", "")
	var names []string
	for _, s := range l {
		names = append(names, named(s.Team, noTeam))
	}
	var bars []chart.Series
	for i, w := range b.Report.Windows {
		s := chart.Series{Name: short(w.Duration())}
		for _, t := range l {
			s.Values = append(s.Values, t.Counts[i].Burn(b.Report.Objective))
		}
		bars = append(bars, s)
	}
	if err := c.Rows(names, bars); err != nil {
		return nil, err
	}
	return []page.Drawing{c}, c.Limit("objective", 1)
}

// spread draws how the burn of all teams is distributed over the second window and the longest.
func (b *BurnPage) spread(teams []burnreport.Series) ([]page.Drawing, error) {
	var l []page.Drawing
	for _, i := range []int{slowWindow, len(b.Report.Windows) - 1} {
		var v []float64
		for _, t := range teams {
			if t.Counts[i].Owed() > 0 {
				v = append(v, t.Counts[i].Burn(b.Report.Objective))
			}
		}
		if len(v) == 0 {
			continue
		}
		c := chart.NewChart("Burn over "+short(b.Report.Windows[i].Duration()), "burn", "teams")
		if err := c.Histogram(v); err != nil {
			return nil, err
		}
		l = append(l, c)
	}
	return l, nil
}

func named(s, or string) string {
	if s == "" {
		return or
	}
	return s
}

func share(f float64) string {
	return fmt.Sprintf("%.1f%%", percent*f)
}

func itoa(n int64) string {
	return strconv.FormatInt(n, 10)
}

// short prints a window without the units that are zero.
func short(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
