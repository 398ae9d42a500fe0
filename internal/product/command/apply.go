package command

import (
	"context"

	"siskinrun/internal/config/change"
)

func init() {
	subcommands = append(subcommands, addApply, addRollBack)
}

// addApply adds the subcommand that replaces the configuration by that of the settings.
func addApply(c *Command) {
	s := &step{}
	n := c.app.Command("apply", "Put the teams, routes and models of the settings in force; keys stay.")
	s.add(n)
	c.add(n.FullCommand(), func(ctx context.Context) error {
		b, err := s.load()
		if err != nil {
			return err
		}
		return c.run(ctx, s, &change.Change{Kind: change.Replace, Whole: b.Configuration()})
	})
}

// addRollBack adds the subcommand that brings an earlier version back as a new one.
func addRollBack(c *Command) {
	s := &step{}
	to := uint64(0)
	n := c.app.Command("roll-back", "Make a new version with the teams, routes and models of an earlier one; keys stay.")
	s.add(n)
	n.Arg("version", "Version to bring back.").Required().Uint64Var(&to)
	c.add(n.FullCommand(), func(ctx context.Context) error {
		return c.run(ctx, s, &change.Change{Kind: change.RollBack, To: to})
	})
}
