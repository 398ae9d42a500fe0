package pipeline

import (
	"context"

	"siskinrun/internal/data/call"
	"siskinrun/pkg/refusal"
)

// identify finds the team of a keyed route, and ends the call when its key is withdrawn.
func (p *Pipeline) identify(authorization string, c *call.Call, t *tracker) error {
	if c.Rule.Open {
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

// errKeyWithdrawn ends a running call; what it says of running is settled where the call ends.
var errKeyWithdrawn = refusal.NewNotRun(401, "key-withdrawn", "the key was withdrawn while the call ran")

// admit spends the price of the call.
func (p *Pipeline) admit(ctx context.Context, c *call.Call) error {
	if c.Team == "" {
		return nil
	}
	c.Weight = p.Configuration().Teams[c.Team].Weight
	return p.Admission.Admit(ctx, c.Team, c.Cost)
}
