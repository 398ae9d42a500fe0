package command

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"strings"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/measure/benchmark"
	"siskinrun/internal/measure/costcurve"
	"siskinrun/internal/measure/costprobe"
	"siskinrun/internal/measure/rolecost"
)

const (
	// targetHosts and targetGroups are the hosts and replica groups of the fleet that costs are extrapolated to.
	targetHosts  = 320
	targetGroups = 17
	percentOf    = 100
)

// benchmarkSuite is a benchmark in the source tree that runs at several sizes, with the metrics that are fitted to a line.
type benchmarkSuite struct {
	packagePath string
	pattern     string
	benchTime   string
	prefix      string
	area        string
	dimension   string
	sizeOf      func(n float64) float64
	target      float64
	metrics     []suiteMetric
}

// suiteMetric is a metric of a benchmark suite, with its unit in the benchmark's output and its name in the report.
// perHost divides its value by the benchmark's number of hosts.
type suiteMetric struct {
	unit    string
	name    string
	perHost bool
}

var suites = []benchmarkSuite{
	{
		packagePath: "./internal/fleet/gossip/", pattern: "^BenchmarkSecond$", benchTime: "3x", prefix: "BenchmarkSecond/", area: "membership",
		dimension: "upstreams", sizeOf: upstreamsForHosts, target: costprobe.TargetUpstreams,
		metrics: []suiteMetric{
			{"messages/s/host", "messages/s a host", false},
			{"bytes/s/host", "bytes/s a host", false},
			{"state-bytes/host", "state bytes a host", false},
			{"ns/op", "processor ns/s a host", true},
		},
	},
	{
		packagePath: "./internal/state/control/", pattern: "^BenchmarkIdle$", benchTime: "5x", prefix: "BenchmarkIdle/groups=", area: "replica",
		dimension: "groups", sizeOf: func(n float64) float64 { return n }, target: targetGroups,
		metrics: []suiteMetric{
			{"packets/host-s", "packets/s a host", false},
			{"bytes/host-s", "bytes/s a host", false},
			{"processor-ms/host-s", "processor ms/s a host", false},
		},
	},
}

// upstreamsForHosts returns the number of upstreams that the membership benchmark runs with the given number of hosts.
// The ratio is that of the target fleet, except in the smallest run.
func upstreamsForHosts(hosts float64) float64 {
	if hosts == 9 {
		return 15
	}
	return hosts * costprobe.TargetUpstreams / targetHosts
}

func init() {
	subcommands = append(subcommands, addCapacity)
}

// addCapacity adds the subcommand that extrapolates measured costs to the target size.
func addCapacity(c *Command) {
	var source string
	var asJSON bool
	n := c.app.Command("capacity", "Measure costs at several sizes and extrapolate them to the target size.")
	n.Flag("source", "Root of the source tree whose benchmarks run with the go command.").Default(".").StringVar(&source)
	n.Flag("json", "Print the fitted lines as JSON.").BoolVar(&asJSON)
	c.handle(n.FullCommand(), func(ctx context.Context) error {
		l, err := measureCosts(ctx, source)
		if err != nil {
			return err
		}
		if asJSON {
			return c.printJSON(l)
		}
		r, err := rolecost.Roles(l)
		if err != nil {
			return err
		}
		c.printCurves(l)
		c.printRoles(r)
		return nil
	})
}

func measureCosts(ctx context.Context, source string) ([]*costcurve.Curve, error) {
	d, err := os.MkdirTemp("", "siskinrun-capacity-")
	if err != nil {
		return nil, errors.Wrap(err, "create temporary folder")
	}
	defer func() { _ = os.RemoveAll(d) }()
	l, err := costprobe.NewProbe(d).Run()
	if err != nil {
		return nil, err
	}
	for _, s := range suites {
		m, err := s.run(ctx, source)
		if err != nil {
			return nil, err
		}
		l = append(l, m...)
	}
	return l, nil
}

// run runs the benchmark and returns a cost curve for each of its metrics.
func (s *benchmarkSuite) run(ctx context.Context, source string) ([]*costcurve.Curve, error) {
	e := exec.CommandContext(ctx, "go", "test", "-run", "^$", "-bench", s.pattern, "-benchtime", s.benchTime, s.packagePath)
	e.Dir = source
	var out bytes.Buffer
	e.Stdout, e.Stderr = &out, &out
	if err := e.Run(); err != nil {
		return nil, errors.Wrapf(err, "%s: %s", strings.Join(e.Args, " "), out.String())
	}
	b, err := benchmark.Parse(out.String())
	if err != nil {
		return nil, err
	}
	return s.curves(b)
}

func (s *benchmarkSuite) curves(results []benchmark.Benchmark) ([]*costcurve.Curve, error) {
	var l []*costcurve.Curve
	for _, w := range s.metrics {
		p := &costcurve.Curve{Area: s.area, Metric: w.name, Dimension: s.dimension, Target: s.target}
		for _, b := range results {
			var n float64
			if _, err := fmt.Sscanf(strings.TrimPrefix(b.Name, s.prefix), "%f", &n); err != nil {
				return nil, errors.Wrapf(err, "parse size in benchmark name %s", b.Name)
			}
			v, ok := b.Get(w.unit)
			if !ok {
				return nil, errors.Newf("benchmark %s reports no metric %s", b.Name, w.unit)
			}
			if w.perHost {
				v /= n
			}
			p.Add(s.sizeOf(n), v)
		}
		if len(p.Sizes) < 3 {
			return nil, errors.Newf("benchmark %s ran at %d sizes, but a fit needs at least 3", s.pattern, len(p.Sizes))
		}
		l = append(l, p)
	}
	return l, nil
}

func (c *Command) printCurves(l []*costcurve.Curve) {
	c.printf("| area | cost | size | measured at size | fit | residual | at target |\n|---|---|---|---|---|---|---|\n")
	for _, s := range l {
		f := s.Fit()
		var m []string
		for i := range s.Sizes {
			m = append(m, fmt.Sprintf("%.4g at %.0f", s.Values[i], s.Sizes[i]))
		}
		c.printf("| %s | %s | %s | %s | %.4g + %.4g n | %.1f%% | %.4g at %.0f |\n", s.Area, s.Metric, s.Dimension,
			strings.Join(m, ", "), f.Intercept, f.Slope, percentOf*f.RelativeResidual, f.At(s.Target), s.Target)
	}
}

func (c *Command) printRoles(l []rolecost.Role) {
	for _, r := range l {
		c.printf("\n### %s\n\n| part | mechanism | state | messages/s | bytes/s | core |\n|---|---|---|---|---|---|\n", r.Name)
		for _, k := range r.Costs {
			c.printCost(k)
		}
		s := r.Sum()
		c.printCost(s)
		c.printf("| budget | | %s | | %s | %s |\n", formatSI(rolecost.BudgetMemory), formatSI(rolecost.BudgetNetwork), formatPercent(rolecost.BudgetCores))
		c.printf("| times the budget | | %.3g | | %.3g | %.3g |\n",
			s.Memory/rolecost.BudgetMemory, s.Network/rolecost.BudgetNetwork, s.Cores/rolecost.BudgetCores)
	}
}

func (c *Command) printCost(k rolecost.Cost) {
	c.printf("| %s | %s | %s | %s | %s | %s |\n", k.Part, k.Mechanism, formatSI(k.Memory), formatSI(k.Messages), formatSI(k.Network), formatPercent(k.Cores))
}

// formatSI formats a value with an SI prefix. A negative value was not measured.
func formatSI(f float64) string {
	for _, u := range []struct {
		min  float64
		name string
	}{{1e9, " G"}, {1e6, " M"}, {1e3, " k"}} {
		if f >= u.min {
			return fmt.Sprintf("%.3g%s", f/u.min, u.name)
		}
	}
	if f < 0 {
		return "not measured"
	}
	return fmt.Sprintf("%.3g", f)
}

func formatPercent(f float64) string {
	if f < 0 {
		return "not measured"
	}
	return fmt.Sprintf("%.3g%%", percentOf*f)
}
