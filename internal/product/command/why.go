package command

import (
	"context"
	"net/url"
	"slices"
	"strconv"
	"time"

	"siskinrun/internal/config/operatorclient"
	"siskinrun/internal/measure/decision"
)

// printDecisions prints the hosts' decisions on the call, team, upstream or route with this ID, the newest first.
func (c *Command) printDecisions(ctx context.Context, k *operatorclient.Client, id string, asJSON bool) error {
	g, err := askHosts[[]decision.Decision](ctx, k, "/v1/why?id="+url.QueryEscape(id))
	if err != nil {
		return err
	}
	l := slices.Concat(g.answers...)
	slices.SortFunc(l, func(a, b decision.Decision) int { return b.At.Compare(a.At) })
	if asJSON {
		return c.printJSON(l)
	}
	rows := [][]string{{"AT", "HOST", "ID", "TEAM", "ROUTE", "UPSTREAM", "BATCH", "WHAT", "WHY", "VERDICT", "STATUS", "ATTEMPTS", "TOTAL"}}
	for _, d := range l {
		rows = append(rows, []string{
			d.At.UTC().Format(time.RFC3339Nano),
			d.Host,
			d.ID,
			d.Team,
			d.Route,
			d.Upstream,
			strconv.FormatBool(d.Batch),
			d.Outcome,
			d.Reason,
			d.Verdict,
			strconv.Itoa(d.Status),
			strconv.Itoa(d.Attempts),
			d.Total.Duration().Round(durationPrecision).String(),
		})
	}
	if err := c.printTable(rows); err != nil {
		return err
	}
	for _, a := range g.missing {
		c.printf("no answer: %s\n", a)
	}
	return nil
}
