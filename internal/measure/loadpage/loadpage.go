package loadpage

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/measure/chart"
	"siskinrun/internal/measure/page"
	"siskinrun/internal/measure/summary"
)

const (
	maxShown = 20
	percent  = 100
)

var quantileNames = []string{"p50", "p95", "p99", "p99.9"}

// View renders load runs side by side.
type View struct {
	// Runs are the summaries to render.
	Runs []*summary.Summary
	// MaxTeams is the maximum number of teams shown in text and charts.
	MaxTeams int
}

// NewView returns a view of one or more runs.
func NewView(runs ...*summary.Summary) *View {
	return &View{Runs: runs, MaxTeams: maxShown}
}

// Print writes the runs side by side as text.
func (l *View) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, strings.Join(l.columns(), "\t")+"\t")
	for _, r := range l.rows(l.MaxTeams) {
		fmt.Fprintln(t, strings.Join(r, "\t")+"\t")
	}
	return t.Flush()
}

func (l *View) columns() []string {
	c := []string{"figure"}
	for _, r := range l.Runs {
		c = append(c, r.Label)
	}
	if len(l.Runs) == 2 {
		c = append(c, "change")
	}
	return c
}

// rows returns the table rows of the classes and of up to n teams, one metric per row.
func (l *View) rows(n int) [][]string {
	rows := [][]string{
		l.row("seed", func(s *summary.Summary) float64 { return float64(s.Seed) }, formatCount)[:1+len(l.Runs)],
		l.row("seconds", func(s *summary.Summary) float64 { return s.Duration.Duration().Seconds() }, formatFraction),
		l.row("lost, mismatched, truncated or wrong", func(s *summary.Summary) float64 { return float64(s.FaultCount) }, formatCount),
		l.row("batch items completed", func(s *summary.Summary) float64 { return float64(s.Batch.Completed) }, formatCount),
		l.row("batch items failed", func(s *summary.Summary) float64 { return float64(s.Batch.Failed) }, formatCount),
		l.row("batch items/s", func(s *summary.Summary) float64 { return s.Batch.ItemsPerSecond }, formatFraction),
	}
	for _, name := range l.classNames(func(s *summary.Summary) []summary.Class { return s.Classes }, maxShown) {
		rows = append(rows, l.classRows(name, func(s *summary.Summary) []summary.Class { return s.Classes })...)
	}
	for _, name := range l.classNames(teamsOf, n) {
		rows = append(rows, l.classRows(name, teamsOf)...)
	}
	return rows
}

func teamsOf(s *summary.Summary) []summary.Class {
	return s.Teams
}

// classNames returns the distinct names of the first n classes of each run, in order of appearance.
func (l *View) classNames(of func(*summary.Summary) []summary.Class, n int) []string {
	var names []string
	seen := map[string]bool{}
	for _, r := range l.Runs {
		for i, c := range of(r) {
			if i < n && !seen[c.Name] {
				seen[c.Name] = true
				names = append(names, c.Name)
			}
		}
	}
	return names
}

func (l *View) classRows(name string, of func(*summary.Summary) []summary.Class) [][]string {
	pick := func(f func(c summary.Class) float64) func(*summary.Summary) float64 {
		return func(s *summary.Summary) float64 { return f(findClass(of(s), name)) }
	}
	rows := [][]string{
		l.row(name+" sent", pick(func(c summary.Class) float64 { return float64(c.Sent) }), formatCount),
		l.row(name+" answered", pick(func(c summary.Class) float64 { return float64(c.Answered) }), formatCount),
		l.row(name+" refused", pick(func(c summary.Class) float64 { return float64(c.RefusedCount()) }), formatCount),
	}
	for i, q := range quantileNames {
		rows = append(rows,
			l.row(name+" first "+q, pick(func(c summary.Class) float64 { return quantiles(c.First)[i] }), formatMilliseconds))
	}
	return append(rows,
		l.row(name+" between p95", pick(func(c summary.Class) float64 { return quantiles(c.Between)[1] }), formatMilliseconds),
		l.row(name+" total p99", pick(func(c summary.Class) float64 { return quantiles(c.Total)[2] }), formatMilliseconds),
	)
}

func findClass(l []summary.Class, name string) summary.Class {
	for _, c := range l {
		if c.Name == name {
			return c
		}
	}
	return summary.Class{Name: name}
}

// row returns one metric of every run and, if there are two runs, the change in percent.
func (l *View) row(name string, f func(*summary.Summary) float64, show func(float64) string) []string {
	r := []string{name}
	for _, s := range l.Runs {
		r = append(r, show(f(s)))
	}
	if len(l.Runs) != 2 {
		return r
	}
	a, b := f(l.Runs[0]), f(l.Runs[1])
	if a == 0 || a == b {
		return append(r, "")
	}
	return append(r, fmt.Sprintf("%+.1f%%", percent*(b-a)/a))
}

// quantiles returns the quantiles in milliseconds.
func quantiles(q summary.Quantiles) []float64 {
	return []float64{inMilliseconds(q.P50), inMilliseconds(q.P95), inMilliseconds(q.P99), inMilliseconds(q.P999)}
}

func inMilliseconds(s duration.Duration) float64 {
	return float64(s.Duration()) / float64(time.Millisecond)
}

func formatCount(f float64) string {
	return strconv.FormatInt(int64(f), 10)
}

func formatFraction(f float64) string {
	return fmt.Sprintf("%.1f", f)
}

func formatMilliseconds(f float64) string {
	return fmt.Sprintf("%.2f ms", f)
}

// Page returns the runs as an HTML page.
func (l *View) Page() (*page.Page, error) {
	p := &page.Page{Title: "Load: " + strings.Join(l.columns()[1:1+len(l.Runs)], " beside ")}
	classes := page.Section{Heading: "Latency quantiles, measured from due arrival"}
	for _, name := range l.classNames(func(s *summary.Summary) []summary.Class { return s.Classes }, maxShown) {
		c, err := l.quantileChart(name)
		if err != nil {
			return nil, err
		}
		classes.Charts = append(classes.Charts, c)
	}
	worst, err := l.worstTeams()
	if err != nil {
		return nil, err
	}
	distribution, err := l.distribution()
	if err != nil {
		return nil, err
	}
	all := l.rows(len(l.classNames(teamsOf, 1<<30)))
	p.Sections = append(p.Sections,
		page.Section{Heading: "Figures", Columns: l.columns(), Rows: l.rows(0)},
		classes,
		page.Section{Heading: fmt.Sprintf("Worst-served teams, at most %d", l.MaxTeams), Charts: worst},
		page.Section{Heading: "All teams", Charts: distribution, Columns: l.columns(), Rows: all, Collapsed: true},
	)
	for _, r := range l.Runs {
		if len(r.Faults) == 0 {
			continue
		}
		s := page.Section{Heading: "Wrong answers of " + r.Label, Columns: []string{"fault"}}
		for _, f := range r.Faults {
			s.Rows = append(s.Rows, []string{f})
		}
		p.Sections = append(p.Sections, s)
	}
	return p, nil
}

// quantileChart charts the quantiles of one class, one line for each run and kind of latency.
func (l *View) quantileChart(name string) (*chart.Chart, error) {
	c := chart.NewChart(name, "quantile", "ms")
	x := []float64{0, 1, 2, 3}
	for _, r := range l.Runs {
		k := findClass(r.Classes, name)
		for _, s := range []struct {
			kind string
			q    summary.Quantiles
		}{{"first byte", k.First}, {"between tokens", k.Between}} {
			if s.q == (summary.Quantiles{}) {
				continue
			}
			if err := c.Line(strings.TrimSpace(r.Label+" "+s.kind), x, quantiles(s.q)); err != nil {
				return nil, err
			}
		}
	}
	c.Ticks(x, quantileNames)
	return c, nil
}

// worstTeams charts the 99th percentile of the first byte for the worst-served teams of the first run.
func (l *View) worstTeams() ([]page.Chart, error) {
	t := slices.Clone(l.Runs[0].Teams)
	slices.SortStableFunc(t, func(a, b summary.Class) int { return cmp.Compare(b.First.P99, a.First.P99) })
	t = t[:min(len(t), l.MaxTeams)]
	if len(t) == 0 {
		return nil, nil
	}
	var names []string
	for _, k := range t {
		names = append(names, k.Name)
	}
	var bars []chart.Series
	for _, r := range l.Runs {
		s := chart.Series{Name: r.Label}
		for _, n := range names {
			s.Values = append(s.Values, inMilliseconds(findClass(r.Teams, n).First.P99))
		}
		bars = append(bars, s)
	}
	c := chart.NewChart("First byte, p99, worst teams of "+l.Runs[0].Label, "ms", "")
	return []page.Chart{c}, c.HorizontalBars(names, bars)
}

// distribution charts the distribution of the 99th percentiles of all teams, one chart per run.
func (l *View) distribution() ([]page.Chart, error) {
	var d []page.Chart
	for _, r := range l.Runs {
		var v []float64
		for _, k := range r.Teams {
			v = append(v, inMilliseconds(k.First.P99))
		}
		if len(v) == 0 {
			continue
		}
		c := chart.NewChart("First byte, p99, all teams of "+r.Label, "ms", "teams")
		if err := c.Histogram(v); err != nil {
			return nil, err
		}
		d = append(d, c)
	}
	return d, nil
}
