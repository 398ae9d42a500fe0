package grant

import (
	"time"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/ratestate"
	"siskinrun/pkg/refusal"
)

// Explain returns whether a request of a team would get its units, if it waited up to the given time. It spends nothing, asks
// the owner for nothing, and counts no demand.
func (g *Limiter) Explain(team string, cost int64, wait time.Duration) ratestate.State {
	now := g.Timer.Now()
	r := ratestate.State{Cost: cost, Group: OwnerGroup(team, g.Groups)}
	m := g.Configuration.View().Teams[team]
	r.Rate, r.Burst = m.Rate, m.Burst
	g.mu.RLock()
	t := g.teams[team]
	g.mu.RUnlock()
	if t == nil {
		r.Outcome = ratestate.AsksOwner
		return r
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	r.Held = t.allowance.Spendable(now)
	r.Waiting = len(t.waiters)
	if r.Waiting == 0 && r.Held >= cost {
		r.Outcome = ratestate.Admitted
		return r
	}
	r.Outcome = ratestate.AsksOwner
	if err := t.judge(now, cost, wait); err != nil {
		f := refusal.Of(err)
		r.Outcome, r.RetryAfter = f.Code, duration.Duration(f.RetryAfter)
	}
	return r
}
