package command

import (
	"context"
	"maps"
	"slices"

	"siskinrun/internal/config/change"
	"siskinrun/internal/config/listing"
	"siskinrun/internal/data/team"
)

func init() {
	subcommands = append(subcommands, addTeam)
}

// addTeam adds the subcommands that list, set and remove teams.
func addTeam(c *Command) {
	n := c.app.Command("team", "List, set and remove teams.")
	l := &fleetFlags{}
	list := n.Command("list", "List the teams.")
	l.add(list)
	c.handle(list.FullCommand(), func(ctx context.Context) error { return c.printListing(ctx, l, "/v1/teams", teamRows) })

	s, name, t := &changeFlags{}, "", &team.Team{}
	set := n.Command("set", "Create or change a team.")
	s.add(set)
	set.Arg("name", "Name of the team.").Required().StringVar(&name)
	set.Flag("rate", "Cost units a second over the whole fleet.").Required().Int64Var(&t.Rate)
	set.Flag("burst", "Cost units that may be spent at once.").Required().Int64Var(&t.Burst)
	set.Flag("weight", "Weight relative to other teams on a busy fleet.").Default("1").Int64Var(&t.Weight)
	set.Flag("stored-bytes", "Maximum bytes of stored files and results.").Int64Var(&t.MaxStoredBytes)
	c.handle(set.FullCommand(), func(ctx context.Context) error {
		return c.runChange(ctx, s, &change.Change{Kind: change.SetTeam, Name: name, Team: t})
	})

	r, removed := &changeFlags{}, ""
	remove := n.Command("remove", "Remove a team that has no key.")
	r.add(remove)
	remove.Arg("name", "Name of the team.").Required().StringVar(&removed)
	c.handle(remove.FullCommand(), func(ctx context.Context) error {
		return c.runChange(ctx, r, &change.Change{Kind: change.RemoveTeam, Name: removed})
	})
}

func teamRows(l *listing.Listing) [][]string {
	rows := [][]string{{"TEAM", "RATE", "BURST", "WEIGHT", "STORED-BYTES"}}
	for _, n := range slices.Sorted(maps.Keys(l.Teams)) {
		t := l.Teams[n]
		rows = append(rows, []string{n, itoa(t.Rate), itoa(t.Burst), itoa(t.Weight), itoa(t.MaxStoredBytes)})
	}
	return rows
}
