package placement

import (
	"slices"
	"time"

	"siskinrun/internal/data/upstream"
)

// engine is the state of one engine and its unconfirmed orders.
type engine struct {
	upstream    upstream.Upstream
	loading     map[string]time.Time
	unloading   map[string]time.Time
	failed      map[string]time.Time
	roleChanged time.Time
}

func newEngine() *engine {
	return &engine{
		loading:   make(map[string]time.Time),
		unloading: make(map[string]time.Time),
		failed:    make(map[string]time.Time),
	}
}

// applyAnnouncement applies the engine's announcement and ends the orders that it confirms.
func (e *engine) applyAnnouncement(u upstream.Upstream) {
	e.upstream = u
	for _, m := range u.Models {
		delete(e.loading, m)
	}
	for m := range e.unloading {
		if !slices.Contains(u.Models, m) {
			delete(e.unloading, m)
		}
	}
}

// expire fails the loads and drops the unloads that have timed out, and forgets old failures.
func (e *engine) expire(now time.Time, loadTimeout time.Duration) {
	for m, t := range e.loading {
		if now.Sub(t) >= loadTimeout {
			delete(e.loading, m)
			e.failed[m] = now
		}
	}
	for m, t := range e.unloading {
		if now.Sub(t) >= loadTimeout {
			delete(e.unloading, m)
		}
	}
	for m, t := range e.failed {
		if now.Sub(t) >= loadTimeout {
			delete(e.failed, m)
		}
	}
}

// holds reports whether the engine holds a model and will keep it.
func (e *engine) holds(model string) bool {
	if e.upstream.Leaving || !slices.Contains(e.upstream.Models, model) {
		return false
	}
	_, ok := e.unloading[model]
	return !ok
}

// freeModels returns how many more models the engine can hold.
func (e *engine) freeModels(models int) int {
	return models - len(e.upstream.Models) - len(e.loading)
}

// canLoad reports whether the engine can be ordered to load a model.
func (e *engine) canLoad(model string) bool {
	if e.upstream.Leaving || slices.Contains(e.upstream.Models, model) {
		return false
	}
	_, loading := e.loading[model]
	_, failed := e.failed[model]
	return !loading && !failed
}
