package command

import (
	"context"
	"encoding/json"
	"fmt"
	"strconv"

	"siskinrun/internal/config/operatorclient"
	"siskinrun/internal/data/crashevidence"
)

func init() {
	subcommands = append(subcommands, addQuarantine)
}

// addQuarantine adds the subcommands that show and lift what is kept from upstreams.
func addQuarantine(c *Command) {
	n := c.app.Command("quarantine", "Show what is kept from upstreams since they crash under it, and lift it.")
	t := &fleetFlags{}
	s := n.Command("list", "Show prompt parts and requests that are in quarantine.")
	t.add(s)
	c.handle(s.FullCommand(), func(ctx context.Context) error { return c.quarantineList(ctx, t) })

	f := &fleetFlags{}
	q := crashevidence.Quarantined{}
	l := n.Command("lift", "Let a prompt part or a request reach upstreams again.")
	f.add(l)
	l.Arg("kind", "What it is.").Required().EnumVar(&q.Kind, "prompt-part", "request")
	l.Arg("trait", "Its number, as the list shows it.").Required().StringVar(&q.Trait)
	c.handle(l.FullCommand(), func(ctx context.Context) error { return c.quarantineLift(ctx, f, q) })
}

func (c *Command) quarantineList(ctx context.Context, t *fleetFlags) error {
	return t.withClient(ctx, func(ctx context.Context, k *operatorclient.Client) error {
		b, err := k.Do(ctx, "GET", "/v1/quarantine", nil)
		if err != nil {
			return err
		}
		var l []crashevidence.Quarantined
		if err := json.Unmarshal(b, &l); err != nil {
			return err
		}
		rows := [][]string{{"KIND", "TRAIT", "ENDS", "ROUTE", "TEAM", "PATH"}}
		for _, q := range l {
			rows = append(rows, []string{q.Kind, q.Trait, strconv.Itoa(q.Ends), q.Route, q.Team, q.Path})
		}
		return c.printRows(t, l, rows)
	})
}

func (c *Command) quarantineLift(ctx context.Context, t *fleetFlags, q crashevidence.Quarantined) error {
	b, err := json.Marshal(q)
	if err != nil {
		return err
	}
	return t.withClient(ctx, func(ctx context.Context, k *operatorclient.Client) error {
		if _, err := k.Do(ctx, "POST", "/v1/quarantine/lift", b); err != nil {
			return err
		}
		_, err := fmt.Fprintf(c.Out, "%s %s is out of quarantine\n", q.Kind, q.Trait)
		return err
	})
}
