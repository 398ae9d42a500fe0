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
	// GivesBack says that calls which are refused before they run give back what they spent.
	GivesBack bool
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
	Reports(team string) uint64
	GiveBack(team string, cost int64, reports uint64)
	Explain(team string, cost int64, wait time.Duration) ratestate.State
}

// Admit spends the cost of a request or returns a not-run refusal. If the request is refused later without having run, giveBack takes
// back what it spent, as far as that is still possible; it is nil if nothing can be given back.
func (a *Controller) Admit(ctx context.Context, team string, cost int64) (giveBack func(), err error) {
	a.once.Do(a.init)
	if cost < 0 {
		return nil, refusal.NewNotRun(400, "invalid-cost", "the cost of a request cannot be negative")
	}
	if a.GivesBack {
		reports := a.Limiter.Reports(team)
		giveBack = func() { a.Limiter.GiveBack(team, cost, reports) }
	}
	if a.Limiter.Spend(team, cost) {
		a.admitted.Inc(1)
		return giveBack, nil
	}
	if err := a.Limiter.Take(ctx, team, cost, a.Wait); err != nil {
		a.refused.Inc(1)
		return nil, err
	}
	a.admitted.Inc(1)
	return giveBack, nil
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
