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

// addLoad adds the subcommand that sends load and checks every answer.
func addLoad(c *Command) {
	l := &loadgen.Generator{}
	var keyFile string
	var compare []string
	o := &loadOutput{}
	n := c.app.Command("load", "Send open-loop traffic to a fleet and check every answer.")
	n.Flag("host", "Callers' address of a host; may be repeated.").StringsVar(&l.Hosts)
	n.Flag("key-file", "File with one team=key a line.").StringVar(&keyFile)
	n.Flag("label", "Name of the run.").Default("load").StringVar(&l.Label)
	n.Flag("model", "Model of completions.").Default("bend-assist").StringVar(&l.Model)
	n.Flag("rate", "Completions a second.").Default("50").Float64Var(&l.Rate)
	n.Flag("path", "Path of calls to a plain service.").StringVar(&l.Path)
	n.Flag("path-rate", "Calls to the plain service a second.").Float64Var(&l.PathRate)
	n.Flag("burst-factor", "How many times the rate a burst has.").Default("1").Float64Var(&l.BurstFactor)
	n.Flag("burst-period", "Time between the starts of bursts, which last a quarter of it.").Default("10s").DurationVar(&l.BurstPeriod)
	n.Flag("duration", "How long requests arrive.").Default("10s").DurationVar(&l.Duration)
	n.Flag("tokens", "Tokens of each answer.").Default("16").IntVar(&l.Tokens)
	n.Flag("prompt-bytes", "Length of each prompt.").Default("256").IntVar(&l.PromptBytes)
	n.Flag("shared-prefix", "Share of prompts that open with a common text, from 0 to 1.").Float64Var(&l.SharedPrefix)
	n.Flag("batch-items", "Items of a batch job beside.").IntVar(&l.BatchItems)
	n.Flag("impossible-every", "One in so many items can never be done.").IntVar(&l.ImpossibleEvery)
	n.Flag("seed", "Seed of arrivals and prompts.").Default("1").Uint64Var(&l.Seed)
	n.Flag("json", "Print the summary as JSON.").BoolVar(&o.json)
	n.Flag("report", "File that takes the summary as JSON.").StringVar(&o.report)
	n.Flag("html", "File that takes the summary as a page.").StringVar(&o.html)
	n.Flag("compare", "Saved summary to show beside another instead of a run; give it twice or more.").StringsVar(&compare)
	c.add(n.FullCommand(), func(ctx context.Context) error {
		if len(compare) > 0 {
			return c.compareLoads(compare, o)
		}
		if len(l.Hosts) == 0 || keyFile == "" {
			return errors.New("--host and --key-file are needed")
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

// runLoad runs the load with a line of progress now and then.
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
			fmt.Fprintf(c.Err, "%d of %d requests ended\n", done, sent)
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

// readKeys reads a file of teams and their keys.
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
			return nil, errors.Newf("%s:%d: a line must be team=key", path, i+1)
		}
		m[t] = k
	}
	return m, nil
}
