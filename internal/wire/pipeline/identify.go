package pipeline

import (
	"context"

	"siskinrun/internal/data/call"
	"siskinrun/pkg/refusal"
)

// identify authenticates a call unless its route is open, and cancels the call when its key is withdrawn.
func (p *Pipeline) identify(authorization string, c *call.Call, t *tracker) error {
	if c.RouteConfig.Open {
		return nil
	}
	k, err := p.Identifier.Key([]byte(authorization))
	if err != nil {
		return err
	}
	c.Team = k.Team
	c.KeyID = k.ID
	c.Record.Team = k.Team
	if p.FinishWithdrawn {
		return nil
	}
	t.onEnd(p.Identifier.Watch(k, func() {
		t.cancel(errKeyWithdrawn)
	}))
	return nil
}

// errKeyWithdrawn is the cause of a cancelled call; tracker.toRefusal replaces its verdict by that of the call.
var errKeyWithdrawn = refusal.NewNotRun(401, "key-withdrawn", "the key was withdrawn while the call ran")

// admit charges the cost of the call to the rate of its team, and sets its weight and rank.
func (p *Pipeline) admit(ctx context.Context, c *call.Call) error {
	if c.Team == "" {
		c.Rank = c.RouteConfig.Rank
		return nil
	}
	m := p.Configuration().Teams[c.Team]
	c.Weight = m.Weight
	c.Rank = m.RankOn(c.RouteConfig.Rank)
	giveBack, err := p.Admission.Admit(ctx, c.Team, c.Cost)
	c.GiveBack = giveBack
	return err
}
