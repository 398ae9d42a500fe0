package admission

import (
	"cmp"
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/data/ratestate"
	"siskinrun/pkg/refusal"
)

// DefaultWait is how long a request waits for units unless settings say otherwise.
const DefaultWait = 150 * time.Millisecond

// Controller admits or refuses requests by the rate of their team.
type Controller struct {
	// Limiter spends the units of the teams.
	Limiter limiter
	// Wait is how long a request waits for units; zero means DefaultWait.
	Wait time.Duration
	// Metrics counts admissions and refusals.
	Metrics metrics.Registry

	once     sync.Once
	admitted metrics.Counter
	refused  metrics.Counter
}

// limiter spends rate units; Take waits for them if this host holds too few.
type limiter interface {
	Spend(team string, cost int64) bool
	Take(ctx context.Context, team string, cost int64, wait time.Duration) error
	Explain(team string, cost int64, wait time.Duration) ratestate.State
}

// Admit spends the cost of a request or returns a not-run refusal.
func (a *Controller) Admit(ctx context.Context, team string, cost int64) error {
	a.once.Do(a.init)
	if cost < 0 {
		return refusal.NewNotRun(400, "invalid-cost", "the cost of a request cannot be negative")
	}
	if a.Limiter.Spend(team, cost) {
		a.admitted.Inc(1)
		return nil
	}
	if err := a.Limiter.Take(ctx, team, cost, a.Wait); err != nil {
		a.refused.Inc(1)
		return err
	}
	a.admitted.Inc(1)
	return nil
}

// Explain returns what Admit would do with a request now, and changes nothing.
func (a *Controller) Explain(team string, cost int64) ratestate.State {
	return a.Limiter.Explain(team, cost, cmp.Or(a.Wait, DefaultWait))
}

func (a *Controller) init() {
	if a.Wait == 0 {
		a.Wait = DefaultWait
	}
	if a.Metrics == nil {
		a.Metrics = metrics.NewRegistry()
	}
	a.admitted = metrics.GetOrRegisterCounter("admitted", a.Metrics)
	a.refused = metrics.GetOrRegisterCounter("admission-refused", a.Metrics)
}
