package command

import (
	"context"
	"fmt"

	"siskinrun/internal/config/difference"
	"siskinrun/internal/config/listing"
	"siskinrun/internal/config/operatorclient"
)

const defaultVersionLimit = 50

func init() {
	subcommands = append(subcommands, addDiff, addVersions)
}

// addDiff adds the subcommand that compares two versions, or the settings with the version in force.
func addDiff(c *Command) {
	t := &fleetFlags{}
	from, to := uint64(0), uint64(0)
	n := c.app.Command("diff", "Show what apply would change, or how two versions differ.")
	t.add(n)
	n.Flag("from", "Earlier version.").Uint64Var(&from)
	n.Flag("to", "Later version; the default is the one in force.").Uint64Var(&to)
	c.handle(n.FullCommand(), func(ctx context.Context) error {
		return t.withClient(ctx, func(ctx context.Context, k *operatorclient.Client) error {
			l, err := listDifferences(ctx, t, k, from, to)
			if err != nil {
				return err
			}
			if t.json {
				return c.printJSON(l)
			}
			for _, d := range l.Differences {
				c.printf("%s: %s -> %s\n", d.Field, orNothing(d.Before), orNothing(d.After))
			}
			return nil
		})
	})
}

// addVersions adds the subcommand that lists the newest versions of the configuration.
func addVersions(c *Command) {
	t := &fleetFlags{}
	limit := uint64(0)
	n := c.app.Command("versions", "List the newest versions, who made them and what they changed.")
	t.add(n)
	n.Flag("most", "Maximum number of versions.").Default(fmt.Sprint(defaultVersionLimit)).Uint64Var(&limit)
	c.handle(n.FullCommand(), func(ctx context.Context) error {
		return c.printListing(ctx, t, fmt.Sprintf("/v1/versions?most=%d", limit), versionRows)
	})
}

func versionRows(l *listing.Listing) [][]string {
	rows := [][]string{{"VERSION", "CHANGE", "BY", "KIND", "FIELDS"}}
	for _, r := range l.Revisions {
		rows = append(rows, []string{itoa(r.Version), r.ChangeID, r.By, r.Kind, fmt.Sprint(r.Changed)})
	}
	return rows
}

func listDifferences(ctx context.Context, t *fleetFlags, k *operatorclient.Client, from, to uint64) (*listing.Listing, error) {
	if from != 0 || to != 0 {
		q := "/v1/diff?"
		if from != 0 {
			q += fmt.Sprintf("from=%d&", from)
		}
		if to != 0 {
			q += fmt.Sprintf("to=%d", to)
		}
		return k.Get(ctx, q)
	}
	s, err := t.load()
	if err != nil {
		return nil, err
	}
	l, err := k.Get(ctx, "/v1/configuration")
	if err != nil {
		return nil, err
	}
	now, next := l.Configuration(), s.Configuration()
	now.Keys = next.Keys
	return &listing.Listing{Version: l.Version, Differences: difference.Between(now, next)}, nil
}

func orNothing(s string) string {
	if s == "" {
		return "nothing"
	}
	return s
}
