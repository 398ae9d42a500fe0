package command

import (
	"context"
	"encoding/json"
	"net/url"
	"strconv"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/config/operatorclient"
	"siskinrun/internal/data/choice"
	"siskinrun/internal/data/explanation"
	"siskinrun/internal/data/serviceoutlook"
)

func init() {
	subcommands = append(subcommands, addExplain)
}

// explainFlags describe the request to explain.
type explainFlags struct {
	fleetFlags
	to     string
	team   string
	route  string
	caller string
	path   string
	model  string
	tokens uint64
}

// addExplain adds the subcommand that shows where a request would go.
func addExplain(c *Command) {
	f := &explainFlags{}
	n := c.app.Command("explain", "Show where a request would go now from one host, and why, without sending it.")
	f.add(n)
	n.Flag("host", "Name of the host that would get the request.").StringVar(&f.to)
	n.Flag("team", "Team that would pay; not needed on an open route.").StringVar(&f.team)
	n.Flag("route", "Name of the route.").StringVar(&f.route)
	n.Flag("caller-host", "Host name that the request would have.").StringVar(&f.caller)
	n.Flag("path", "Path of the request, in place of a route.").StringVar(&f.path)
	n.Flag("model", "Model that the request would name, in place of a route.").StringVar(&f.model)
	n.Flag("tokens", "Tokens that the request would generate at most.").Uint64Var(&f.tokens)
	c.handle(n.FullCommand(), func(ctx context.Context) error { return c.explain(ctx, f) })
}

func (c *Command) explain(ctx context.Context, f *explainFlags) error {
	if f.route == "" && f.path == "" && f.model == "" {
		return errors.New("give --route, --path or --model")
	}
	if err := f.selectHost(); err != nil {
		return err
	}
	return f.withClient(ctx, func(ctx context.Context, k *operatorclient.Client) error {
		k.Addresses, k.Timeout = k.Addresses[:1], hostTimeout
		q := url.Values{}
		for n, v := range map[string]string{
			"team": f.team, "route": f.route, "caller-host": f.caller, "path": f.path, "model": f.model, "tokens": itoa(f.tokens),
		} {
			q.Set(n, v)
		}
		b, err := k.Do(ctx, "GET", "/v1/explain?"+q.Encode(), nil)
		if err != nil {
			return err
		}
		e := &explanation.Explanation{}
		if err := json.Unmarshal(b, e); err != nil {
			return errors.Wrap(err, "decode explanation")
		}
		if f.to != "" && e.Host != f.to {
			return errors.Newf("host %s answered in place of %s", e.Host, f.to)
		}
		if f.json {
			return c.printJSON(e)
		}
		return c.printExplanation(e)
	})
}

// selectHost makes the host that is named the only one to ask. A host that is not in the settings needs an address.
func (f *explainFlags) selectHost() error {
	switch {
	case len(f.addresses) > 1:
		return errors.New("give one --address: the request goes to one host")
	case len(f.addresses) == 1:
		return nil
	case f.to == "":
		return errors.New("give --host or --address: the request goes to one host")
	}
	s, err := f.load()
	if err != nil {
		return err
	}
	if _, ok := s.Fleet.Hosts[f.to]; !ok {
		return errors.Newf("unknown host %q: the settings do not name it; give its --address", f.to)
	}
	f.host = f.to
	return nil
}

func (c *Command) printExplanation(e *explanation.Explanation) error {
	c.printf("host %s in %s, version %d, fresh %t, confirmed %s ago\n", e.Host, e.FailureDomain, e.Version, e.Fresh, ageText(e.Confirmed))
	c.printf("team %s, route %s, rank %d, timeout %s, starts within %s\n", orNone(e.Team), e.Route, e.Rank, durationText(e.Timeout), durationText(e.LatestStart))
	if r := e.Rate; r != nil {
		c.printf("rate: %s; cost %d, %d held here, %d a second, burst %d, %d waiting, owner group %d", r.Outcome, r.Cost, r.Held, r.Rate, r.Burst, r.Waiting, r.Group)
		if r.RetryAfter > 0 {
			c.printf(", retry after %s", durationText(r.RetryAfter))
		}
		c.printf("\n")
	}
	if j := e.Job; j != nil {
		c.printf("job: %s; group %d, leader %s, %d tokens, %d open of %d, due within %s, given up after %s, %d items wait (%d of the team), %d run\n",
			j.Outcome, j.Group, orNone(j.Leader), j.Tokens, j.OpenTokens, j.TokenLimit, durationText(j.Target), durationText(j.Window),
			j.Ready, j.TeamReady, j.Leased)
	}
	for _, s := range e.Services {
		if err := c.printOutlook(s); err != nil {
			return err
		}
	}
	return nil
}

func (c *Command) printOutlook(s serviceoutlook.Outlook) error {
	c.printf("\nservice %s (%d of %d): %s", s.Service, s.Weight, s.Weights, s.Outcome)
	if s.Choice.Upstream != "" {
		c.printf(", upstream %s", s.Choice.Upstream)
	}
	c.printf("\n")
	if q := s.Queue; q != nil {
		c.printf("queue: %s; %d slots, %d usable here, %d used here, %d elsewhere, %d waiting, wait %s\n",
			q.Outcome, q.Slots, q.Usable, q.Busy, q.Elsewhere, q.Waiting, durationText(q.Wait))
	}
	c.printf("permits: %d waiting, wait %s, in time %t", s.Lane.Waiting, durationText(s.Lane.Wait), s.Lane.InTime)
	if p := s.Choice.NextPermit; p != nil {
		c.printf(", next in %s", durationText(*p))
	}
	c.printf("\ncounts of others heard %s ago", ageText(s.Choice.Heard))
	if s.Choice.Leaving != "" {
		c.printf("; failure domain %s: %s", s.Choice.FailureDomain, s.Choice.Leaving)
	}
	c.printf("\n")
	return c.printTable(candidateRows(s.Choice))
}

func candidateRows(o choice.Choice) [][]string {
	rows := [][]string{{"UPSTREAM", "FAILURE-DOMAIN", "VERSION", "SLOTS", "RUNNING", "BATCH", "SCORE", "WHY", "ANNOUNCED", "REPORTED"}}
	for _, u := range o.Candidates {
		score := "-"
		if u.Score != nil {
			score = strconv.FormatFloat(*u.Score, 'f', 3, 64)
		}
		rows = append(rows, []string{
			u.Upstream, u.FailureDomain, orNone(u.Version), strconv.Itoa(u.Slots), strconv.Itoa(u.Running), strconv.Itoa(u.Batch), score,
			u.Reason, ageText(u.Announced), ageText(u.Reported),
		})
	}
	return rows
}

func durationText(d duration.Duration) string { return d.Duration().Round(durationPrecision).String() }

// ageText returns an age, or a dash if there is none.
func ageText(d *duration.Duration) string {
	if d == nil {
		return "-"
	}
	return durationText(*d)
}

func orNone(s string) string {
	if s == "" {
		return "-"
	}
	return s
}
