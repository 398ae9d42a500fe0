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
	defaultMaxRows = 20
	percent        = 100
	noTeam         = "(open)"
	noRoute        = "(none)"
	secondWindow   = 1 // index of the window over which teams are ranked
)

// View renders one report.
type View struct {
	// Report is the report to render.
	Report *burnreport.Report
	// MaxRows is the number of teams and series shown; the page collapses longer tables.
	MaxRows int
}

// NewView returns a view of a report.
func NewView(r *burnreport.Report) *View {
	return &View{Report: r, MaxRows: defaultMaxRows}
}

// Print writes the report as text.
func (v *View) Print(w io.Writer) error {
	r := v.Report
	for _, l := range v.summaryLines() {
		fmt.Fprintln(w, l)
	}
	teams := r.Teams()
	series := append([]burnreport.Series(nil), r.Series...)
	r.SortWorstFirst(series)
	for _, t := range []struct {
		title string
		rows  [][]string
	}{
		{"teams, worst first", v.rows(teams, false)},
		{"teams and routes, worst first", v.rows(series, true)},
	} {
		shown := t.rows[:min(len(t.rows), v.MaxRows)]
		fmt.Fprintf(w, "\n%s (%d of %d)\n", t.title, len(shown), len(t.rows))
		if err := writeTable(w, v.columns(), shown); err != nil {
			return err
		}
	}
	return nil
}

func writeTable(w io.Writer, columns []string, rows [][]string) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, strings.Join(columns, "\t")+"\t")
	for _, r := range rows {
		fmt.Fprintln(t, strings.Join(r, "\t")+"\t")
	}
	return t.Flush()
}

// summaryLines returns the lines at the head of the report.
func (v *View) summaryLines() []string {
	r := v.Report
	whole := r.Total()
	l := []string{
		fmt.Sprintf("burn rates at %s from %d hosts, objective: %.4g%% of calls within the rate answered in time",
			r.At.UTC().Format(time.RFC3339), len(r.Hosts), percent*r.Objective),
		fmt.Sprintf("whole fleet: burn rate %s, budget left %s", v.formatBurnRates(whole), formatPercent(r.BudgetLeft(whole))),
	}
	if w, ok := r.WorstTeam(); ok {
		l = append(l, fmt.Sprintf("worst-served team: %s, burn rate %s, budget left %s",
			nameOr(w.Team, noTeam), v.formatBurnRates(w), formatPercent(r.BudgetLeft(w))))
	} else {
		l = append(l, "worst-served team: no team had enough calls in the second window")
	}
	h := r.BatchImpact()
	l = append(l, fmt.Sprintf("late answers of the last minutes: %s of %d with batch work on the same upstream, %s of %d without",
		formatPercent(h.WithBatch.LateShare()), h.WithBatch.Answered, formatPercent(h.WithoutBatch.LateShare()), h.WithoutBatch.Answered))
	if len(r.Missing) > 0 {
		l = append(l, fmt.Sprintf("%d hosts did not answer: %s", len(r.Missing), strings.Join(r.Missing, ", ")))
	}
	if r.Dropped > 0 {
		l = append(l, fmt.Sprintf("%d calls are not counted by team and route because the limit of series was reached", r.Dropped))
	}
	return l
}

func (v *View) formatBurnRates(s burnreport.Series) string {
	var l []string
	for i, c := range s.Counts {
		l = append(l, fmt.Sprintf("%.2f in %s", c.BurnRate(v.Report.Objective), formatWindow(v.Report.Windows[i].Duration())))
	}
	return strings.Join(l, ", ")
}

func (v *View) columns() []string {
	l := []string{"team", "route", "alert"}
	for _, w := range v.Report.Windows {
		l = append(l, "burn "+formatWindow(w.Duration()))
	}
	return append(l, "budget left", "owed", "late", "refused", "over rate", "rejected")
}

func (v *View) rows(l []burnreport.Series, routes bool) [][]string {
	r := v.Report
	rows := make([][]string, 0, len(l))
	for _, s := range l {
		route := ""
		if routes {
			route = nameOr(s.Route, noRoute)
		}
		row := []string{nameOr(s.Team, noTeam), route, r.Alert(s)}
		for _, c := range s.Counts {
			row = append(row, fmt.Sprintf("%.2f", c.BurnRate(r.Objective)))
		}
		c := s.Counts[len(s.Counts)-1]
		row = append(row, formatPercent(r.BudgetLeft(s)), formatCount(c.Eligible()), formatCount(c.Late), formatCount(c.Refused), formatCount(c.OverRate), formatCount(c.Rejected))
		rows = append(rows, row)
	}
	return rows
}

// Page returns the report as an HTML page.
func (v *View) Page() (*page.Page, error) {
	r := v.Report
	teams := r.Teams()
	series := append([]burnreport.Series(nil), r.Series...)
	r.SortWorstFirst(series)
	worst, err := v.worstTeams(teams)
	if err != nil {
		return nil, err
	}
	distribution, err := v.distribution(teams)
	if err != nil {
		return nil, err
	}
	p := &page.Page{Title: "Service-level burn"}
	for i, f := range v.summaryLines() {
		s := page.Section{Text: f}
		if i == 0 {
			s.Heading = "Summary"
		}
		p.Sections = append(p.Sections, s)
	}
	p.Sections = append(p.Sections,
		page.Section{Heading: fmt.Sprintf("Worst %d of %d teams", min(v.MaxRows, len(teams)), len(teams)), Charts: worst},
		page.Section{Heading: fmt.Sprintf("All %d teams", len(teams)), Charts: distribution},
		page.Section{Heading: "Teams", Columns: v.columns(), Rows: v.rows(teams, false), Collapsed: len(teams) > v.MaxRows},
		page.Section{Heading: "Teams and routes", Columns: v.columns(), Rows: v.rows(series, true), Collapsed: len(series) > v.MaxRows},
	)
	return p, nil
}

// worstTeams charts the burn rates of the worst-served teams in every window.
func (v *View) worstTeams(teams []burnreport.Series) ([]page.Chart, error) {
	l := teams[:min(len(teams), v.MaxRows)]
	if len(l) == 0 {
		return nil, nil
	}
	c := chart.NewChart("Burn rate by window; above 1 the error budget is overspent", "burn rate", "")
	var names []string
	for _, s := range l {
		names = append(names, nameOr(s.Team, noTeam))
	}
	var bars []chart.Series
	for i, w := range v.Report.Windows {
		s := chart.Series{Name: formatWindow(w.Duration())}
		for _, t := range l {
			s.Values = append(s.Values, t.Counts[i].BurnRate(v.Report.Objective))
		}
		bars = append(bars, s)
	}
	if err := c.HorizontalBars(names, bars); err != nil {
		return nil, err
	}
	return []page.Chart{c}, c.VerticalLine("objective", 1)
}

// distribution charts the distribution of burn rates among all teams, over the second and the longest window.
func (v *View) distribution(teams []burnreport.Series) ([]page.Chart, error) {
	var l []page.Chart
	for _, i := range []int{secondWindow, len(v.Report.Windows) - 1} {
		var r []float64
		for _, t := range teams {
			if t.Counts[i].Eligible() > 0 {
				r = append(r, t.Counts[i].BurnRate(v.Report.Objective))
			}
		}
		if len(r) == 0 {
			continue
		}
		c := chart.NewChart("Burn rate over "+formatWindow(v.Report.Windows[i].Duration()), "burn rate", "teams")
		if err := c.Histogram(r); err != nil {
			return nil, err
		}
		l = append(l, c)
	}
	return l, nil
}

func nameOr(s, or string) string {
	if s == "" {
		return or
	}
	return s
}

func formatPercent(f float64) string {
	return fmt.Sprintf("%.1f%%", percent*f)
}

func formatCount(n int64) string {
	return strconv.FormatInt(n, 10)
}

// formatWindow formats a window without trailing zero units.
func formatWindow(d time.Duration) string {
	s := d.String()
	if strings.HasSuffix(s, "m0s") {
		s = strings.TrimSuffix(s, "0s")
	}
	if strings.HasSuffix(s, "h0m") {
		s = strings.TrimSuffix(s, "0m")
	}
	return s
}
