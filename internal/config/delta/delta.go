package delta

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/service"
	"siskinrun/internal/data/team"
	"siskinrun/internal/state/formation"
)

// Delta leads from one version of the configuration to another.
type Delta struct {
	// From is the version that the delta applies to, 0 for a whole configuration.
	From uint64 `json:"from"`
	// To is the version that the delta leads to.
	To uint64 `json:"to"`
	// Edition is the edition of the version that the delta leads to.
	Edition uint64 `json:"edition,omitempty"`
	// Teams are the teams that differ.
	Teams part[team.Team] `json:"teams,omitzero"`
	// Keys are the keys that differ.
	Keys part[key.Key] `json:"keys,omitzero"`
	// Routes are the routes that differ.
	Routes part[route.Route] `json:"routes,omitzero"`
	// Models are the models that differ.
	Models part[model.Model] `json:"models,omitzero"`
	// Services are the services that differ.
	Services part[service.Service] `json:"services,omitzero"`
	// Retiring are the retiring hosts that differ.
	Retiring part[bool] `json:"retiring,omitzero"`
	// Ledgers is the formation of the ledgers in the version that the delta leads to.
	Ledgers formation.Formation `json:"ledgers,omitzero"`
}

// part is what differs in one kind of entry.
type part[T any] struct {
	Set     map[string]T `json:"set,omitempty"`
	Removed []string     `json:"removed,omitempty"`
}

// IsZero reports whether nothing differs.
func (p part[T]) IsZero() bool {
	return len(p.Set) == 0 && len(p.Removed) == 0
}

// Between returns the delta that leads from a to b.
func Between(a, b *configuration.Configuration) *Delta {
	return &Delta{
		From:     a.Version,
		To:       b.Version,
		Edition:  b.Edition,
		Teams:    compare(a.Teams, b.Teams, equal[team.Team]),
		Keys:     compare(a.Keys, b.Keys, equal[key.Key]),
		Routes:   compare(a.Routes, b.Routes, equalRoutes),
		Models:   compare(a.Models, b.Models, equalModels),
		Services: compare(a.Services, b.Services, equal[service.Service]),
		Retiring: compare(a.Retiring, b.Retiring, equal[bool]),
		Ledgers:  b.Ledgers,
	}
}

// Decode reads what Encode wrote.
func Decode(b []byte) (*Delta, error) {
	d := &Delta{}
	if err := json.Unmarshal(b, d); err != nil {
		return nil, errors.Wrap(err, "decode delta")
	}
	return d, nil
}

// Encode returns the delta as JSON.
func (d *Delta) Encode() ([]byte, error) {
	return json.Marshal(d)
}

// Back returns the delta that undoes d, which led away from now.
func (d *Delta) Back(now *configuration.Configuration) *Delta {
	return &Delta{
		From:     d.To,
		To:       d.From,
		Edition:  now.Edition,
		Teams:    undo(now.Teams, d.Teams),
		Keys:     undo(now.Keys, d.Keys),
		Routes:   undo(now.Routes, d.Routes),
		Models:   undo(now.Models, d.Models),
		Services: undo(now.Services, d.Services),
		Retiring: undo(now.Retiring, d.Retiring),
		Ledgers:  now.Ledgers,
	}
}

// Apply returns c changed by deltas in their order, sharing with c what stays the same.
func Apply(c *configuration.Configuration, deltas ...*Delta) (*configuration.Configuration, error) {
	n := *c
	w := &writer{}
	for _, d := range deltas {
		if d.From != n.Version {
			return nil, errors.Newf("delta from version %d does not fit version %d", d.From, n.Version)
		}
		w.teams = write(&n.Teams, d.Teams, w.teams)
		w.keys = write(&n.Keys, d.Keys, w.keys)
		w.routes = write(&n.Routes, d.Routes, w.routes)
		w.models = write(&n.Models, d.Models, w.models)
		w.services = write(&n.Services, d.Services, w.services)
		w.retiring = write(&n.Retiring, d.Retiring, w.retiring)
		n.Ledgers = d.Ledgers
		n.Version = d.To
		n.Edition = d.Edition
	}
	return &n, nil
}

// writer remembers which parts are copies already.
type writer struct {
	teams, keys, routes, models, services, retiring bool
}

func write[T any](m *map[string]T, p part[T], own bool) bool {
	if p.IsZero() {
		return own
	}
	if !own {
		*m = maps.Clone(*m)
	}
	if *m == nil {
		*m = map[string]T{}
	}
	for _, n := range p.Removed {
		delete(*m, n)
	}
	maps.Copy(*m, p.Set)
	return true
}

func compare[T any](a, b map[string]T, same func(T, T) bool) part[T] {
	var p part[T]
	if reflect.ValueOf(a).Pointer() == reflect.ValueOf(b).Pointer() {
		return p
	}
	for n, v := range b {
		if o, ok := a[n]; ok && same(o, v) {
			continue
		}
		if p.Set == nil {
			p.Set = map[string]T{}
		}
		p.Set[n] = v
	}
	for n := range a {
		if _, ok := b[n]; !ok {
			p.Removed = append(p.Removed, n)
		}
	}
	slices.Sort(p.Removed)
	return p
}

func undo[T any](old map[string]T, p part[T]) part[T] {
	var b part[T]
	for n := range p.Set {
		b.restore(old, n)
	}
	for _, n := range p.Removed {
		b.restore(old, n)
	}
	slices.Sort(b.Removed)
	return b
}

// restore sets an entry as it was before, or removes it if it was not there.
func (p *part[T]) restore(old map[string]T, name string) {
	v, ok := old[name]
	if !ok {
		p.Removed = append(p.Removed, name)
		return
	}
	if p.Set == nil {
		p.Set = map[string]T{}
	}
	p.Set[name] = v
}

func equal[T comparable](a, b T) bool {
	return a == b
}

func equalRoutes(a, b route.Route) bool {
	return reflect.DeepEqual(a, b)
}

func equalModels(a, b model.Model) bool {
	return slices.Equal(a.Versions, b.Versions) &&
		slices.Equal(a.Adapters, b.Adapters) &&
		a.Replicas == b.Replicas &&
		a.Context == b.Context
}
