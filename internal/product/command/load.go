package command

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/measure/loadgen"
	"siskinrun/internal/measure/summary"
)

const progressInterval = 2 * time.Second

func init() {
	subcommands = append(subcommands, addLoad)
}

// addLoad adds the subcommand that generates load and checks every answer.
func addLoad(c *Command) {
	l := &loadgen.Generator{}
	var keyFile string
	var compare []string
	o := &loadOutput{}
	n := c.app.Command("load", "Send open-loop traffic to a fleet and check every answer.")
	n.Flag("host", "Callers' address of a host; repeatable.").StringsVar(&l.Hosts)
	n.Flag("key-file", "File with one team=key a line.").StringVar(&keyFile)
	n.Flag("label", "Name of the run.").Default("load").StringVar(&l.Label)
	n.Flag("model", "Model of completions.").Default("bend-assist").StringVar(&l.Model)
	n.Flag("rate", "Completions a second.").Default("50").Float64Var(&l.Rate)
	n.Flag("path", "Path of calls to a plain service.").StringVar(&l.Path)
	n.Flag("path-rate", "Calls to the plain service a second.").Float64Var(&l.PathRate)
	n.Flag("burst-factor", "Factor of the rate during a burst.").Default("1").Float64Var(&l.BurstFactor)
	n.Flag("burst-period", "Period of bursts; each lasts a quarter of it.").Default("10s").DurationVar(&l.BurstPeriod)
	n.Flag("duration", "Time during which requests are sent.").Default("10s").DurationVar(&l.Duration)
	n.Flag("tokens", "Tokens of each answer.").Default("16").IntVar(&l.Tokens)
	n.Flag("prompt-bytes", "Length of each prompt.").Default("256").IntVar(&l.PromptBytes)
	n.Flag("shared-prefix", "Share of prompts with a common prefix, from 0 to 1.").Float64Var(&l.SharedPrefix)
	n.Flag("batch-items", "Items of a batch job that runs at the same time.").IntVar(&l.BatchItems)
	n.Flag("impossible-every", "Every n-th batch item is one that always fails.").IntVar(&l.ImpossibleEvery)
	n.Flag("seed", "Seed of arrival times and prompts.").Default("1").Uint64Var(&l.Seed)
	n.Flag("json", "Print the summary as JSON.").BoolVar(&o.json)
	n.Flag("report", "File to write the summary to as JSON.").StringVar(&o.report)
	n.Flag("html", "File to write the summary to as an HTML page.").StringVar(&o.html)
	n.Flag("compare", "Saved summary to compare instead of a run; give two or more.").StringsVar(&compare)
	c.handle(n.FullCommand(), func(ctx context.Context) error {
		if len(compare) > 0 {
			return c.compareLoads(compare, o)
		}
		if len(l.Hosts) == 0 || keyFile == "" {
			return errors.New("--host and --key-file are required")
		}
		k, err := readKeys(keyFile)
		if err != nil {
			return err
		}
		l.Keys = k
		s, err := c.runLoad(ctx, l)
		if err != nil {
			return err
		}
		return c.showSummary(s, o)
	})
}

// runLoad runs the load and prints its progress at intervals of progressInterval.
func (c *Command) runLoad(ctx context.Context, l *loadgen.Generator) (*summary.Summary, error) {
	t := timer.NewService()
	l.Timer = t
	w, cancel := context.WithCancel(ctx)
	defer cancel()
	g := group.NewGroup(w)
	g.Go("timer", t.Run)
	next := t.Now().Add(progressInterval)
	l.Progress = func(done, sent int64) {
		if n := t.Now(); n.After(next) {
			next = n.Add(progressInterval)
			fmt.Fprintf(c.Err, "%d of %d requests done\n", done, sent)
		}
	}
	var s *summary.Summary
	g.Go("load", func(ctx context.Context) error {
		defer cancel()
		v, err := l.Run(ctx)
		s = v
		return err
	})
	return s, errors.CombineErrors(g.Wait(), ctx.Err())
}

// readKeys reads a file with one team=key a line and returns the keys by team.
func readKeys(path string) (map[string]string, error) {
	b, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	m := map[string]string{}
	for i, s := range strings.Split(string(b), "\n") {
		s = strings.TrimSpace(s)
		if s == "" {
			continue
		}
		t, k, ok := strings.Cut(s, "=")
		if !ok || t == "" || k == "" {
			return nil, errors.Newf("%s:%d: line is not team=key", path, i+1)
		}
		m[t] = k
	}
	return m, nil
}
