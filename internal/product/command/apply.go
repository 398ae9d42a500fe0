package command

import (
	"context"

	"siskinrun/internal/config/change"
)

func init() {
	subcommands = append(subcommands, addApply, addRollBack)
}

// addApply adds the subcommand that replaces the configuration in force with that of the settings. Keys stay.
func addApply(c *Command) {
	s := &changeFlags{}
	n := c.app.Command("apply", "Put the teams, routes and models of the settings in force; keys stay.")
	s.add(n)
	c.handle(n.FullCommand(), func(ctx context.Context) error {
		b, err := s.load()
		if err != nil {
			return err
		}
		return c.runChange(ctx, s, &change.Change{Kind: change.Replace, Whole: b.Configuration()})
	})
}

// addRollBack adds the subcommand that makes a new version with the contents of an earlier one. Keys stay.
func addRollBack(c *Command) {
	s := &changeFlags{}
	to := uint64(0)
	n := c.app.Command("roll-back", "Make a new version with the teams, routes and models of an earlier one; keys stay.")
	s.add(n)
	n.Arg("version", "Earlier version to copy.").Required().Uint64Var(&to)
	c.handle(n.FullCommand(), func(ctx context.Context) error {
		return c.runChange(ctx, s, &change.Change{Kind: change.RollBack, To: to})
	})
}
