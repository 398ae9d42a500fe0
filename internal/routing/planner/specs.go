package planner

import (
	"maps"
	"math"
	"slices"
	"time"

	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/modelspec"
)

// demandDecay is the time constant with which the demand of a model decays.
const demandDecay = 5 * time.Minute

// level is a demand in slots at a point in time.
type level struct {
	slots float64
	at    time.Time
}

// demand holds the demand of each model, which rises at once and decays exponentially.
type demand map[string]level

// observe records the current demand and returns the one to plan for.
func (d demand) observe(name string, slots float64, now time.Time) float64 {
	l := d[name]
	l.slots *= math.Exp(-float64(now.Sub(l.at)) / float64(demandDecay))
	d[name] = level{max(l.slots, slots), now}
	return d[name].slots
}

// services returns the sorted names of the services that have model routes.
func (p *Planner) services(v *configuration.Configuration) []string {
	var l []string
	for _, t := range v.Routes {
		if t.Model != "" && t.Version != "" {
			l = append(l, t.Service)
		}
	}
	slices.Sort(l)
	return slices.Compact(l)
}

// specs returns the models that the routes of a service need.
func (p *Planner) specs(service string, list []upstream.Upstream, v *configuration.Configuration, now time.Time) []modelspec.Spec {
	var l []modelspec.Spec
	for _, n := range slices.Sorted(maps.Keys(v.Routes)) {
		t := v.Routes[n]
		if t.Service != service || t.Model == "" || t.Version == "" {
			continue
		}
		w := modelspec.Spec{Route: n, Model: t.Model, Version: t.Version, Adapter: t.Adapter, MinEngines: v.Models[t.Model].MinReplicas}
		w.Slots = p.demand.observe(service+" "+w.Name(), p.onlineRequests(w, list), now)
		l = append(l, w)
	}
	return l
}

// onlineRequests returns the online requests on the engines that hold any version of a model; an engine's requests are divided evenly among its models.
func (p *Planner) onlineRequests(w modelspec.Spec, list []upstream.Upstream) float64 {
	n := 0.0
	for _, u := range list {
		for _, m := range u.Models {
			if modelspec.StripVersion(m) == w.Name() {
				n += float64(p.OnlineRequests(u.Name)) / float64(len(u.Models))
			}
		}
	}
	return n
}
