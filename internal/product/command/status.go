package command

import (
	"context"
	"strconv"
	"time"

	"siskinrun/internal/config/operatorclient"
)

const ageUnit = time.Millisecond

func init() {
	subcommands = append(subcommands, addStatus)
}

// addStatus adds the subcommand that shows how each host stands.
func addStatus(c *Command) {
	t := &target{}
	n := c.app.Command("status", "Show each host's version of the configuration and whether it is fresh.")
	t.add(n)
	why := n.Flag("why", "Show what was decided on a call, team, upstream or route of this name instead.").String()
	c.add(n.FullCommand(), func(ctx context.Context) error {
		return t.with(ctx, func(ctx context.Context, k *operatorclient.Client) error {
			if *why != "" {
				return c.showWhy(ctx, k, *why, t.json)
			}
			l, err := k.Get(ctx, "/v1/hosts")
			if err != nil {
				return err
			}
			if t.json {
				return c.printJSON(l)
			}
			rows := [][]string{{"HOST", "FAILURE-DOMAIN", "CONTROL", "REACHABLE", "VERSION", "FRESH", "AGE"}}
			for _, h := range l.Hosts {
				rows = append(rows, []string{
					h.Host,
					h.FailureDomain,
					strconv.FormatBool(h.Control),
					strconv.FormatBool(h.Reachable),
					itoa(h.Version),
					strconv.FormatBool(h.Fresh),
					h.Age.Duration().Round(ageUnit).String(),
				})
			}
			return c.printTable(rows)
		})
	})
}
