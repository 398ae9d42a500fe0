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
func (v *View) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, strings.Join(v.columns(), "\t")+"\t")
	for _, r := range v.rows(v.MaxTeams) {
		fmt.Fprintln(t, strings.Join(r, "\t")+"\t")
	}
	return t.Flush()
}

func (v *View) columns() []string {
	c := []string{"figure"}
	for _, r := range v.Runs {
		c = append(c, r.Label)
	}
	if len(v.Runs) == 2 {
		c = append(c, "change")
	}
	return c
}

// rows returns the table rows of the classes and of up to n teams, one metric per row.
func (v *View) rows(n int) [][]string {
	rows := [][]string{
		v.row("seed", func(s *summary.Summary) float64 { return float64(s.Seed) }, formatCount)[:1+len(v.Runs)],
		v.row("seconds", func(s *summary.Summary) float64 { return s.Duration.Duration().Seconds() }, formatFraction),
		v.row("lost, mismatched, truncated or wrong", func(s *summary.Summary) float64 { return float64(s.FaultCount) }, formatCount),
		v.row("batch items completed", func(s *summary.Summary) float64 { return float64(s.Batch.Completed) }, formatCount),
		v.row("batch items failed", func(s *summary.Summary) float64 { return float64(s.Batch.Failed) }, formatCount),
		v.row("batch items/s", func(s *summary.Summary) float64 { return s.Batch.ItemsPerSecond }, formatFraction),
	}
	for _, name := range v.classNames(func(s *summary.Summary) []summary.Class { return s.Classes }, maxShown) {
		rows = append(rows, v.classRows(name, func(s *summary.Summary) []summary.Class { return s.Classes })...)
	}
	for _, name := range v.classNames(teamsOf, n) {
		rows = append(rows, v.classRows(name, teamsOf)...)
	}
	return rows
}

func teamsOf(s *summary.Summary) []summary.Class {
	return s.Teams
}

// classNames returns the distinct names of the first n classes of each run, in order of appearance.
func (v *View) classNames(of func(*summary.Summary) []summary.Class, n int) []string {
	var names []string
	seen := map[string]bool{}
	for _, r := range v.Runs {
		for i, c := range of(r) {
			if i < n && !seen[c.Name] {
				seen[c.Name] = true
				names = append(names, c.Name)
			}
		}
	}
	return names
}

func (v *View) classRows(name string, of func(*summary.Summary) []summary.Class) [][]string {
	pick := func(f func(c summary.Class) float64) func(*summary.Summary) float64 {
		return func(s *summary.Summary) float64 { return f(findClass(of(s), name)) }
	}
	rows := [][]string{
		v.row(name+" sent", pick(func(c summary.Class) float64 { return float64(c.Sent) }), formatCount),
		v.row(name+" answered", pick(func(c summary.Class) float64 { return float64(c.Answered) }), formatCount),
		v.row(name+" refused", pick(func(c summary.Class) float64 { return float64(c.RefusedCount()) }), formatCount),
	}
	for i, q := range quantileNames {
		rows = append(rows,
			v.row(name+" first "+q, pick(func(c summary.Class) float64 { return quantiles(c.First)[i] }), formatMilliseconds))
	}
	return append(rows,
		v.row(name+" between p95", pick(func(c summary.Class) float64 { return quantiles(c.Between)[1] }), formatMilliseconds),
		v.row(name+" total p99", pick(func(c summary.Class) float64 { return quantiles(c.Total)[2] }), formatMilliseconds),
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
func (v *View) row(name string, f func(*summary.Summary) float64, show func(float64) string) []string {
	r := []string{name}
	for _, s := range v.Runs {
		r = append(r, show(f(s)))
	}
	if len(v.Runs) != 2 {
		return r
	}
	a, b := f(v.Runs[0]), f(v.Runs[1])
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
func (v *View) Page() (*page.Page, error) {
	p := &page.Page{Title: "Load: " + strings.Join(v.columns()[1:1+len(v.Runs)], " beside ")}
	classes := page.Section{Heading: "Latency quantiles, measured from due arrival"}
	for _, name := range v.classNames(func(s *summary.Summary) []summary.Class { return s.Classes }, maxShown) {
		c, err := v.quantileChart(name)
		if err != nil {
			return nil, err
		}
		classes.Charts = append(classes.Charts, c)
	}
	worst, err := v.worstTeams()
	if err != nil {
		return nil, err
	}
	distribution, err := v.distribution()
	if err != nil {
		return nil, err
	}
	all := v.rows(len(v.classNames(teamsOf, 1<<30)))
	p.Sections = append(p.Sections,
		page.Section{Heading: "Figures", Columns: v.columns(), Rows: v.rows(0)},
		classes,
		page.Section{Heading: fmt.Sprintf("Worst-served teams, at most %d", v.MaxTeams), Charts: worst},
		page.Section{Heading: "All teams", Charts: distribution, Columns: v.columns(), Rows: all, Collapsed: true},
	)
	for _, r := range v.Runs {
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
func (v *View) quantileChart(name string) (*chart.Chart, error) {
	c := chart.NewChart(name, "quantile", "ms")
	x := []float64{0, 1, 2, 3}
	for _, r := range v.Runs {
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
func (v *View) worstTeams() ([]page.Chart, error) {
	t := slices.Clone(v.Runs[0].Teams)
	slices.SortStableFunc(t, func(a, b summary.Class) int { return cmp.Compare(b.First.P99, a.First.P99) })
	t = t[:min(len(t), v.MaxTeams)]
	if len(t) == 0 {
		return nil, nil
	}
	var names []string
	for _, k := range t {
		names = append(names, k.Name)
	}
	var bars []chart.Series
	for _, r := range v.Runs {
		s := chart.Series{Name: r.Label}
		for _, n := range names {
			s.Values = append(s.Values, inMilliseconds(findClass(r.Teams, n).First.P99))
		}
		bars = append(bars, s)
	}
	c := chart.NewChart("First byte, p99, worst teams of "+v.Runs[0].Label, "ms", "")
	return []page.Chart{c}, c.HorizontalBars(names, bars)
}

// distribution charts the distribution of the 99th percentiles of all teams, one chart per run.
func (v *View) distribution() ([]page.Chart, error) {
	var d []page.Chart
	for _, r := range v.Runs {
		var t []float64
		for _, k := range r.Teams {
			t = append(t, inMilliseconds(k.First.P99))
		}
		if len(t) == 0 {
			continue
		}
		c := chart.NewChart("First byte, p99, all teams of "+r.Label, "ms", "teams")
		if err := c.Histogram(t); err != nil {
			return nil, err
		}
		d = append(d, c)
	}
	return d, nil
}
