package answertime

import (
	"sync"
	"time"
)

const (
	// meanWeight and deviationWeight are the weights of one answer in the moving averages of a route, as usual for round-trip
	// times.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	// deviations is the number of mean deviations by which a call that must be whole in time is taken to exceed the average.
	deviations = 2
	// maxRoutes bounds the routes whose answers are remembered, since configurations replace routes.
	maxRoutes = 4096
)

// Estimates holds how long answers take; it is safe for concurrent use.
type Estimates struct {
	mu     sync.Mutex
	routes map[string]*times
}

// times are the moving averages of the answers of one route.
type times struct {
	first, whole average
}

// average is a moving average with the mean deviation from it.
type average struct {
	known           bool
	mean, deviation float64
}

// Observe records a whole answer: the times from the sending of the call to the first byte and to the end.
func (e *Estimates) Observe(route string, first, whole time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.routes[route]
	if t == nil {
		if e.routes == nil || len(e.routes) >= maxRoutes {
			e.routes = map[string]*times{}
		}
		t = &times{}
		e.routes[route] = t
	}
	t.first.add(first)
	t.whole.add(whole)
}

// First returns the time that most calls of a route take to their first byte once they are sent, zero if that is unknown.
func (e *Estimates) First(route string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.routes[route]
	if t == nil {
		return 0
	}
	return t.first.most()
}

// Whole returns the time that most calls of a route take to the end of their answer once they are sent, zero if that is
// unknown.
func (e *Estimates) Whole(route string) time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	t := e.routes[route]
	if t == nil {
		return 0
	}
	return t.whole.most()
}

func (a *average) add(d time.Duration) {
	x := float64(d)
	if !a.known {
		*a = average{known: true, mean: x}
		return
	}
	off := x - a.mean
	a.mean += meanWeight * off
	a.deviation += deviationWeight * (max(off, -off) - a.deviation)
}

// most returns the time within which most of the samples lie.
func (a *average) most() time.Duration {
	return time.Duration(a.mean + deviations*a.deviation)
}
