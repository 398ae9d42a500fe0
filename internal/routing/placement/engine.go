package placement

import (
	"slices"
	"time"

	"siskinrun/internal/data/upstream"
)

// engine is one engine with the orders that it has not confirmed.
type engine struct {
	upstream  upstream.Upstream
	loading   map[string]time.Time
	unloading map[string]time.Time
	failed    map[string]time.Time
	role      time.Time
}

func newEngine() *engine {
	return &engine{
		loading:   make(map[string]time.Time),
		unloading: make(map[string]time.Time),
		failed:    make(map[string]time.Time),
	}
}

// announce takes in what the engine says and ends the orders that it confirms.
func (e *engine) announce(u upstream.Upstream) {
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

// expire ends the orders that must have ended, and forgets failures that are old.
func (e *engine) expire(now time.Time, loadTime time.Duration) {
	for m, t := range e.loading {
		if now.Sub(t) >= loadTime {
			delete(e.loading, m)
			e.failed[m] = now
		}
	}
	for m, t := range e.unloading {
		if now.Sub(t) >= loadTime {
			delete(e.unloading, m)
		}
	}
	for m, t := range e.failed {
		if now.Sub(t) >= loadTime {
			delete(e.failed, m)
		}
	}
}

// holds reports whether the engine can be counted on for a model.
func (e *engine) holds(model string) bool {
	if e.upstream.Leaving || !slices.Contains(e.upstream.Models, model) {
		return false
	}
	_, ok := e.unloading[model]
	return !ok
}

// room returns how many more models the engine can take.
func (e *engine) room(models int) int {
	return models - len(e.upstream.Models) - len(e.loading)
}

// may reports whether the engine can be told to load a model.
func (e *engine) may(model string) bool {
	if e.upstream.Leaving || slices.Contains(e.upstream.Models, model) {
		return false
	}
	_, loading := e.loading[model]
	_, failed := e.failed[model]
	return !loading && !failed
}
