package serve

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

const mostDecisions = 200

// observations are what this host keeps of the calls that ended here.
type observations struct {
	spread *distribution.Service
	timer  *timer.Service

	mu    sync.Mutex
	burn  *burnrate.Tracker
	trace *decisionlog.Log
}

func (p *parts) observations() *observations {
	n := p.serveHost.Name
	return &observations{
		spread: p.spread,
		timer:  p.serveHost.timer,
		burn:   burnrate.NewTracker(n),
		trace:  decisionlog.NewLog(n, decisionlog.DefaultSize),
	}
}

// add takes the record of a call that ended.
func (o *observations) add(r callrecord.Record) {
	contract := o.spread.View().Routes[r.Route]
	o.mu.Lock()
	defer o.mu.Unlock()
	o.burn.Add(r, contract)
	o.trace.Add(r)
}

// showBurn tells how this host served each team.
func (o *observations) showBurn(context.Context, *operatorapi.Request) ([]byte, error) {
	o.mu.Lock()
	r := o.burn.Report(o.timer.Now())
	o.mu.Unlock()
	return json.Marshal(r)
}

// showWhy tells the latest decisions on a call, team, upstream or route.
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
	return o.trace.Find(id, mostDecisions)
}
