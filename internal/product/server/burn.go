package server

import (
	"context"
	"encoding/json"
	"sync"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/distribution"
	"siskinrun/internal/config/operatorapi"
	"siskinrun/internal/data/callrecord"
	"siskinrun/internal/measure/burnrate"
	"siskinrun/internal/measure/decision"
	"siskinrun/internal/measure/decisionlog"
	"siskinrun/pkg/refusal"
)

// maxDecisions is the maximum number of decisions in an answer to an operator.
const maxDecisions = 200

// observations hold the burn rates and the decision log of the calls that ended on this host.
type observations struct {
	distribution *distribution.Service
	timer        *timer.Service

	mu        sync.Mutex
	burnRates *burnrate.Tracker
	decisions *decisionlog.Log
}

func (p *components) newObservations() *observations {
	n := p.server.Name
	return &observations{
		distribution: p.distribution,
		timer:        p.server.timer,
		burnRates:    burnrate.NewTracker(n),
		decisions:    decisionlog.NewLog(n, decisionlog.DefaultSize),
	}
}

// add records a call that ended.
func (o *observations) add(r callrecord.Record) {
	contract := o.distribution.View().Routes[r.Route]
	o.mu.Lock()
	defer o.mu.Unlock()
	o.burnRates.Add(r, contract)
	o.decisions.Add(r)
}

// showBurn reports the burn rate of each team on this host.
func (o *observations) showBurn(context.Context, *operatorapi.Request) ([]byte, error) {
	o.mu.Lock()
	r := o.burnRates.Report(o.timer.Now())
	o.mu.Unlock()
	return json.Marshal(r)
}

// showWhy returns the latest decisions on a call, team, upstream or route.
func (o *observations) showWhy(_ context.Context, r *operatorapi.Request) ([]byte, error) {
	id := r.Query("id")
	if id == "" {
		return nil, refusal.NewNotRun(400, "bad-parameter", "id must name a call, team, upstream or route")
	}
	return json.Marshal(o.find(id))
}

func (o *observations) find(id string) []decision.Decision {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.decisions.Find(id, maxDecisions)
}
