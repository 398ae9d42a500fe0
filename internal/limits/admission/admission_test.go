package admission_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/data/ratestate"
	"siskinrun/internal/limits/admission"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// fakeLimiter holds units of one team and gets more during the first wait.
type fakeLimiter struct {
	back   int64
	held   int64
	coming int64
	waited time.Duration
}

func (p *fakeLimiter) Spend(_ string, cost int64) bool {
	if cost > p.held {
		return false
	}
	p.held -= cost
	return true
}

func (p *fakeLimiter) Take(_ context.Context, team string, cost int64, wait time.Duration) error {
	p.waited = wait
	p.held += p.coming
	p.coming = 0
	if p.Spend(team, cost) {
		return nil
	}
	return refusal.NewNotRun(429, "rate-exceeded", "spent")
}

func (p *fakeLimiter) Reports(string) uint64 { return 7 }

func (p *fakeLimiter) GiveBack(_ string, cost int64, reports uint64) {
	if reports == 7 {
		p.back += cost
	}
}

func (p *fakeLimiter) Explain(string, int64, time.Duration) ratestate.State {
	return ratestate.State{Held: p.held}
}

func TestAdmit(t *testing.T) {
	for _, c := range []struct {
		name         string
		held, coming int64
		cost         int64
		waited       time.Duration
		code         string
	}{
		{"held", 5, 0, 5, 0, ""},
		{"granted in time", 5, 1, 6, admission.DefaultWait, ""},
		{"not granted", 5, 0, 6, admission.DefaultWait, "rate-exceeded"},
		{"negative cost", 5, 0, -1, 0, "invalid-cost"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &fakeLimiter{held: c.held, coming: c.coming}
			a := &admission.Controller{Limiter: p, Metrics: metrics.NewRegistry()}
			_, err := a.Admit(context.Background(), "kea", c.cost)
			is.Equal(p.waited, c.waited)
			if c.code == "" {
				is.NoErr(err)
				is.Equal(metrics.GetOrRegisterCounter("admitted", a.Metrics).Count(), int64(1))
				return
			}
			is.Equal(refusal.Of(err).Code, c.code)
			is.Equal(refusal.Of(err).Verdict, verdict.NotRun)
		})
	}
}

// TestRefusedCallsGiveBackWhatTheySpent guards against calls that spend their team's rate without having run.
func TestRefusedCallsGiveBackWhatTheySpent(t *testing.T) {
	is := is.New(t)
	p := &fakeLimiter{held: 9}
	a := &admission.Controller{Limiter: p, GivesBack: true, Metrics: metrics.NewRegistry()}
	giveBack, err := a.Admit(context.Background(), "kea", 4)
	is.NoErr(err)
	giveBack()
	is.Equal(p.back, int64(4))
	a = &admission.Controller{Limiter: p, Metrics: metrics.NewRegistry()}
	giveBack, err = a.Admit(context.Background(), "kea", 4)
	is.NoErr(err)
	is.True(giveBack == nil) // the settings do not ask for it
}
