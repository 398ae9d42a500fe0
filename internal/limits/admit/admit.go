package admit

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/pkg/refusal"
)

// Wait is how long a request waits for a grant unless settings say otherwise.
const Wait = 150 * time.Millisecond

// Admit decides whether a request is within its team's rate.
type Admit struct {
	// Grants holds the units of the teams.
	Grants grants
	// Wait is how long a request waits for a grant, or zero for the constant.
	Wait time.Duration
	// Metrics counts admissions and refusals.
	Metrics metrics.Registry

	once     sync.Once
	admitted metrics.Counter
	refused  metrics.Counter
}

// grants spends the units that this host holds.
type grants interface {
	Spend(team string, cost int64) bool
	Take(ctx context.Context, team string, cost int64, wait time.Duration) error
}

// Admit spends the cost of a request or returns a not-run refusal.
func (a *Admit) Admit(ctx context.Context, team string, cost int64) error {
	a.once.Do(a.init)
	if cost < 0 {
		return refusal.NewNotRun(400, "invalid-cost", "the cost of a request cannot be negative")
	}
	if a.Grants.Spend(team, cost) {
		a.admitted.Inc(1)
		return nil
	}
	if err := a.Grants.Take(ctx, team, cost, a.Wait); err != nil {
		a.refused.Inc(1)
		return err
	}
	a.admitted.Inc(1)
	return nil
}

func (a *Admit) init() {
	if a.Wait == 0 {
		a.Wait = Wait
	}
	if a.Metrics == nil {
		a.Metrics = metrics.NewRegistry()
	}
	a.admitted = metrics.GetOrRegisterCounter("admitted", a.Metrics)
	a.refused = metrics.GetOrRegisterCounter("admission-refused", a.Metrics)
}
