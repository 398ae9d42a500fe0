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

// Delta turns one version of the configuration into another.
type Delta struct {
	// From is the version that the delta applies to; a delta from 0 holds a whole configuration.
	From uint64 `json:"from"`
	// To is the version that the delta results in.
	To uint64 `json:"to"`
	// Edition is the edition of version To.
	Edition uint64 `json:"edition,omitempty"`
	// Teams holds the teams that differ.
	Teams sectionDelta[team.Team] `json:"teams,omitzero"`
	// Keys holds the keys that differ.
	Keys sectionDelta[key.Key] `json:"keys,omitzero"`
	// Routes holds the routes that differ.
	Routes sectionDelta[route.Route] `json:"routes,omitzero"`
	// Models holds the models that differ.
	Models sectionDelta[model.Model] `json:"models,omitzero"`
	// Services holds the services that differ.
	Services sectionDelta[service.Service] `json:"services,omitzero"`
	// Retiring holds the retiring hosts that differ.
	Retiring sectionDelta[bool] `json:"retiring,omitzero"`
	// Evacuated holds the evacuated failure domains that differ.
	Evacuated sectionDelta[bool] `json:"evacuated,omitzero"`
	// Ledgers is the formation of the batch ledgers in version To.
	Ledgers formation.Formation `json:"ledgers,omitzero"`
}

// sectionDelta holds the entries of one section that are set or removed.
type sectionDelta[T any] struct {
	Set     map[string]T `json:"set,omitempty"`
	Removed []string     `json:"removed,omitempty"`
}

// IsZero reports whether nothing differs.
func (p sectionDelta[T]) IsZero() bool {
	return len(p.Set) == 0 && len(p.Removed) == 0
}

// Between returns the delta that turns a into b.
func Between(a, b *configuration.Configuration) *Delta {
	return &Delta{
		From:      a.Version,
		To:        b.Version,
		Edition:   b.Edition,
		Teams:     diffSection(a.Teams, b.Teams, equal[team.Team]),
		Keys:      diffSection(a.Keys, b.Keys, equal[key.Key]),
		Routes:    diffSection(a.Routes, b.Routes, equalRoutes),
		Models:    diffSection(a.Models, b.Models, equalModels),
		Services:  diffSection(a.Services, b.Services, equal[service.Service]),
		Retiring:  diffSection(a.Retiring, b.Retiring, equal[bool]),
		Evacuated: diffSection(a.Evacuated, b.Evacuated, equal[bool]),
		Ledgers:   b.Ledgers,
	}
}

// Decode decodes the JSON that Encode returns.
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

// Inverse returns the delta that undoes d, given the version that d applies to.
func (d *Delta) Inverse(now *configuration.Configuration) *Delta {
	return &Delta{
		From:      d.To,
		To:        d.From,
		Edition:   now.Edition,
		Teams:     invert(now.Teams, d.Teams),
		Keys:      invert(now.Keys, d.Keys),
		Routes:    invert(now.Routes, d.Routes),
		Models:    invert(now.Models, d.Models),
		Services:  invert(now.Services, d.Services),
		Retiring:  invert(now.Retiring, d.Retiring),
		Evacuated: invert(now.Evacuated, d.Evacuated),
		Ledgers:   now.Ledgers,
	}
}

// Apply returns the result of applying deltas to c in order. It shares the unchanged sections with c.
func Apply(c *configuration.Configuration, deltas ...*Delta) (*configuration.Configuration, error) {
	n := *c
	w := &copied{}
	for _, d := range deltas {
		if d.From != n.Version {
			return nil, errors.Newf("delta from version %d does not fit version %d", d.From, n.Version)
		}
		w.teams = applySection(&n.Teams, d.Teams, w.teams)
		w.keys = applySection(&n.Keys, d.Keys, w.keys)
		w.routes = applySection(&n.Routes, d.Routes, w.routes)
		w.models = applySection(&n.Models, d.Models, w.models)
		w.services = applySection(&n.Services, d.Services, w.services)
		w.retiring = applySection(&n.Retiring, d.Retiring, w.retiring)
		w.evacuated = applySection(&n.Evacuated, d.Evacuated, w.evacuated)
		n.Ledgers = d.Ledgers
		n.Version = d.To
		n.Edition = d.Edition
	}
	return &n, nil
}

// copied records which sections have been copied already.
type copied struct {
	teams, keys, routes, models, services, retiring, evacuated bool
}

func applySection[T any](m *map[string]T, p sectionDelta[T], isCopy bool) bool {
	if p.IsZero() {
		return isCopy
	}
	if !isCopy {
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

func diffSection[T any](a, b map[string]T, same func(T, T) bool) sectionDelta[T] {
	var p sectionDelta[T]
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

func invert[T any](old map[string]T, p sectionDelta[T]) sectionDelta[T] {
	var b sectionDelta[T]
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
func (p *sectionDelta[T]) restore(old map[string]T, name string) {
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
		a.MinReplicas == b.MinReplicas &&
		a.ContextTokens == b.ContextTokens
}
