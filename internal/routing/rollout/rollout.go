package rollout

import (
	"slices"
	"sync"

	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/modelspec"
)

// heldModel is a versioned model name announced by engines of one service.
type heldModel struct {
	service string
	model   string
}

// Rollout moves routes to new versions without a gap in service; it is safe for concurrent use.
//
// Each host decides by itself from the announcements and the shared configuration,
// so no agreement between hosts is needed.
type Rollout struct {
	mu      sync.Mutex
	holders map[heldModel]int
	models  map[string]model.Model
	current map[heldModel]string
}

// NewRollout returns a Rollout without engines.
func NewRollout() *Rollout {
	return &Rollout{holders: make(map[heldModel]int), current: make(map[heldModel]string)}
}

// SetUpstreams sets the known upstreams; its cost grows with the upstreams and their models.
func (r *Rollout) SetUpstreams(list []upstream.Upstream) {
	h := make(map[heldModel]int, len(list))
	for _, u := range list {
		if u.Leaving {
			continue
		}
		for _, m := range u.Models {
			h[heldModel{u.Service, m}]++
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.holders = h
}

// SetModels sets the models of the configuration in force.
func (r *Rollout) SetModels(models map[string]model.Model) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.models = models
}

// Version returns the version that a request on a route should use, or the empty string for any version.
//
// A route keeps its version until enough engines hold the wanted one; it then keeps
// the wanted one as long as any engine holds it.
func (r *Rollout) Version(t route.Route) string {
	if t.Model == "" || t.Version == "" {
		return t.Version
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w := modelspec.Spec{Model: t.Model, Adapter: t.Adapter}
	k := heldModel{t.Service, w.Name()}
	v := r.selectVersion(t, w, r.current[k])
	r.current[k] = v
	return v
}

// Explain returns what Version would return, and changes nothing.
func (r *Rollout) Explain(t route.Route) string {
	if t.Model == "" || t.Version == "" {
		return t.Version
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w := modelspec.Spec{Model: t.Model, Adapter: t.Adapter}
	return r.selectVersion(t, w, r.current[heldModel{t.Service, w.Name()}])
}

func (r *Rollout) selectVersion(t route.Route, w modelspec.Spec, current string) string {
	wanted := r.count(t, w, t.Version)
	switch {
	case wanted >= max(r.models[t.Model].MinReplicas, 1):
		return t.Version
	case current == t.Version && wanted > 0:
		return current
	case current != "" && current != t.Version && r.count(t, w, current) > 0:
		return current
	}
	return r.mostHeld(t, w)
}

// mostHeld returns the version, not newer than the wanted one, that most engines hold; ties go to the newest.
func (r *Rollout) mostHeld(t route.Route, w modelspec.Spec) string {
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

func (r *Rollout) count(t route.Route, w modelspec.Spec, version string) int {
	return r.holders[heldModel{t.Service, w.VersionedName(version)}]
}
