package planner

import (
	"maps"
	"math"
	"slices"
	"time"

	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/want"
)

const demandLife = 5 * time.Minute

// level is a recent demand in slots.
type level struct {
	slots float64
	at    time.Time
}

// demand holds the demand of each model, which rises at once and fades slowly.
type demand map[string]level

// see takes in the demand as it is now and returns the one to plan for.
func (d demand) see(name string, slots float64, now time.Time) float64 {
	l := d[name]
	l.slots *= math.Exp(-float64(now.Sub(l.at)) / float64(demandLife))
	d[name] = level{max(l.slots, slots), now}
	return d[name].slots
}

// services returns the services of model routes in order.
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

// wants returns what the routes of a service ask for.
func (p *Planner) wants(service string, list []upstream.Upstream, v *configuration.Configuration, now time.Time) []want.Want {
	var l []want.Want
	for _, n := range slices.Sorted(maps.Keys(v.Routes)) {
		t := v.Routes[n]
		if t.Service != service || t.Model == "" || t.Version == "" {
			continue
		}
		w := want.Want{Route: n, Model: t.Model, Version: t.Version, Adapter: t.Adapter, Least: v.Models[t.Model].Replicas}
		w.Slots = p.demand.see(service+" "+w.Name(), p.busy(w, list), now)
		l = append(l, w)
	}
	return l
}

// busy returns the online requests on engines that hold any version of a model, shared among what each engine holds.
func (p *Planner) busy(w want.Want, list []upstream.Upstream) float64 {
	n := 0.0
	for _, u := range list {
		for _, m := range u.Models {
			if want.Unversioned(m) == w.Name() {
				n += float64(p.Busy(u.Name)) / float64(len(u.Models))
			}
		}
	}
	return n
}
