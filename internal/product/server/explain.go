package server

import (
	"context"
	"encoding/json"
	"strconv"

	"siskinrun/internal/config/operatorapi"
	"siskinrun/internal/data/call"
	"siskinrun/internal/wire/dispatch"
	"siskinrun/internal/wire/explainer"
	"siskinrun/pkg/refusal"
)

// newExplainer returns what tells operators where a request would go from this host.
func (p *components) newExplainer() *explainer.Explainer {
	return &explainer.Explainer{
		Host:          p.server.Name,
		FailureDomain: p.host.FailureDomain,
		Configuration: p.distribution,
		Routes:        p.pipeline,
		Rollout:       p.rollout,
		Admission:     p.admission,
		Queue:         p.capacity,
		Lane:          p.lane,
		Dispatcher:    &dispatch.Dispatcher{FailureDomain: p.host.FailureDomain},
		Picker:        p.picker,
		Jobs:          p.batch,
		Drain:         p.drain,
		Cold:          p.permits.Cold,
		Timer:         p.server.timer,
	}
}

// explain tells where a request would go from this host.
func (p *components) explain(ctx context.Context, r *operatorapi.Request) ([]byte, error) {
	c := &call.Call{Team: r.Query("team"), Host: r.Query("caller-host"), Path: r.Query("path"), Model: r.Query("model"), Method: "POST"}
	name := r.Query("route")
	if name == "" && c.Path == "" && c.Model == "" {
		return nil, refusal.NewNotRun(400, "bad-parameter", "name a route, a path or a model")
	}
	if t := r.Query("tokens"); t != "" {
		n, err := strconv.ParseInt(t, 10, 64)
		if err != nil || n < 0 {
			return nil, refusal.NewNotRun(400, "bad-parameter", "tokens must be a whole number")
		}
		c.MaxTokens = n
	}
	e, err := p.newExplainer().Explain(ctx, name, c)
	if err != nil {
		return nil, err
	}
	return json.Marshal(e)
}
