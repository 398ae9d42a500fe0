package rollout

import (
	"slices"
	"sync"

	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/want"
)

// held names one model in one version, as engines of one service announce it.
type held struct {
	service string
	model   string
}

// Rollout moves routes to new versions without a gap; it is safe for concurrent use.
//
// Each host decides by itself from the announcements and the configuration that
// all hosts share, so nothing has to be agreed.
type Rollout struct {
	mu      sync.Mutex
	holders map[held]int
	models  map[string]model.Model
	using   map[held]string
}

// NewRollout returns a Rollout that knows no engine.
func NewRollout() *Rollout {
	return &Rollout{holders: make(map[held]int), using: make(map[held]string)}
}

// SetUpstreams takes in the upstreams as they are known now; its cost grows with them and their models.
func (r *Rollout) SetUpstreams(list []upstream.Upstream) {
	h := make(map[held]int, len(list))
	for _, u := range list {
		if u.Leaving {
			continue
		}
		for _, m := range u.Models {
			h[held{u.Service, m}]++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders = h
}

// SetModels takes in the models of the configuration in force.
func (r *Rollout) SetModels(models map[string]model.Model) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.models = models
}

// Version returns the version that a request on a route should use, or the empty string for any.
//
// A route keeps the version it uses until enough engines hold the wanted one, and
// then keeps that one as long as any engine holds it.
func (r *Rollout) Version(t route.Route) string {
	if t.Model == "" || t.Version == "" {
		return t.Version
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w := want.Want{Model: t.Model, Adapter: t.Adapter}
	k := held{t.Service, w.Name()}
	v := r.choose(t, w, r.using[k])
	r.using[k] = v
	return v
}

func (r *Rollout) choose(t route.Route, w want.Want, using string) string {
	wanted := r.count(t, w, t.Version)
	switch {
	case wanted >= max(r.models[t.Model].Replicas, 1):
		return t.Version
	case using == t.Version && wanted > 0:
		return using
	case using != "" && using != t.Version && r.count(t, w, using) > 0:
		return using
	}
	return r.most(t, w)
}

// most returns the version up to the wanted one that most engines hold, the newest of equals.
func (r *Rollout) most(t route.Route, w want.Want) string {
	l := r.models[t.Model].Versions
	if i := slices.Index(l, t.Version); i >= 0 {
		l = l[:i]
	}
	best, n := t.Version, r.count(t, w, t.Version)
	for _, v := range slices.Backward(l) {
		if c := r.count(t, w, v); c > n {
			best, n = v, c
		}
	}
	return best
}

func (r *Rollout) count(t route.Route, w want.Want, version string) int {
	return r.holders[held{t.Service, w.At(version)}]
}
