package command

import (
	"context"
	"strconv"
	"time"

	"siskinrun/internal/config/listing"
	"siskinrun/internal/config/operatorclient"
)

const durationPrecision = time.Millisecond

func init() {
	subcommands = append(subcommands, addStatus)
}

// addStatus adds the subcommand that shows the status of each host, or the decisions on a name.
func addStatus(c *Command) {
	t := &fleetFlags{}
	n := c.app.Command("status", "Show each host's version of the configuration and whether it is fresh.")
	t.add(n)
	why := n.Flag("why", "Show the decisions on the call, team, upstream or route with this name instead.").String()
	c.handle(n.FullCommand(), func(ctx context.Context) error {
		if *why == "" {
			return c.printListing(ctx, t, "/v1/hosts", hostRows)
		}
		return t.withClient(ctx, func(ctx context.Context, k *operatorclient.Client) error {
			return c.printDecisions(ctx, k, *why, t.json)
		})
	})
}

func hostRows(l *listing.Listing) [][]string {
	rows := [][]string{{"HOST", "FAILURE-DOMAIN", "CONTROL", "REACHABLE", "VERSION", "FRESH", "AGE"}}
	for _, h := range l.Hosts {
		rows = append(rows, []string{
			h.Host,
			h.FailureDomain,
			strconv.FormatBool(h.Control),
			strconv.FormatBool(h.Reachable),
			itoa(h.Version),
			strconv.FormatBool(h.Fresh),
			h.Age.Duration().Round(durationPrecision).String(),
		})
	}
	return rows
}
