package server

import (
	"math"
	"sync"
	"time"

	"siskinrun/internal/data/upstream"
	"siskinrun/internal/data/wholeruns"
	"siskinrun/internal/routing/forecast"
)

// defaultRunTime is how long a batch run is taken to last before the first one has ended.
const defaultRunTime = 2 * time.Second

// pressedAfter is how long items wait for each slot of an upstream that they get of those that online calls are expected to need:
// longer than a phase of high load, and so short that items wait well below the usual due time of 18 s.
const pressedAfter = 4 * time.Second

// paceTTL is the time for which an upstream counts as one that reports its pace, as for the choice of an upstream.
const paceTTL = 10 * time.Second

// runPlaces knows which upstreams run batch items whole, and where online calls and runs have room. The zero value knows none.
type runPlaces struct {
	// scope holds the services for which the settings ask for whole runs.
	scope wholeruns.Scope

	mu sync.Mutex
	// paced are the upstreams that report their pace; forecasts are those of the services with whole runs.
	paced     map[string]time.Time
	forecasts map[string]*forecast.Forecast
	services  map[string]string
}

// note records that an upstream reported its pace to any host at a time.
func (r *runPlaces) note(name string, pace int, at time.Time) {
	if pace <= 0 || !r.scope.Paced {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.paced == nil {
		r.paced = map[string]time.Time{}
	}
	if at.After(r.paced[name]) {
		r.paced[name] = at
	}
}

// runsWhole reports whether runs on an upstream are preempted only for calls that have no other place. That holds for all
// upstreams of a service that the settings name, or of which one reports its pace, as for the choice of an upstream.
func (r *runPlaces) runsWhole(name string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, ok := r.paced[name]
	return ok || r.forecasts[r.services[name]] != nil
}

// any reports whether any service may have whole runs.
func (r *runPlaces) any() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.scope.NamesAny() || len(r.paced) > 0
}

// observe records the online load of each service with whole runs. Only upstreams that are open, which may get
// work, count.
func (r *runPlaces) observe(
	list []upstream.Upstream, open func(u upstream.Upstream) bool, online func(name string) int, now time.Time,
) {
	if !r.any() {
		return
	}
	counts := make([]int, len(list)) // read before the lock: the picker asks runsWhole under its own
	for i, u := range list {
		counts[i] = online(u.Name)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	slots, used, whole := map[string]int{}, map[string]int{}, map[string]bool{}
	r.services = make(map[string]string, len(list))
	known := make(map[string]time.Time, len(r.paced))
	for i, u := range list {
		r.services[u.Name] = u.Service
		if t, ok := r.paced[u.Name]; ok && now.Sub(t) <= paceTTL {
			known[u.Name] = t
			whole[u.Service] = true
		}
		if r.scope.Names(u.Service) {
			whole[u.Service] = true
		}
		if !u.Leaving && open(u) {
			slots[u.Service] += u.Slots
			used[u.Service] += counts[i]
		}
	}
	r.paced = known
	old := r.forecasts
	r.forecasts = map[string]*forecast.Forecast{}
	for s, n := range slots {
		if !whole[s] || n == 0 {
			continue
		}
		f := old[s]
		if f == nil {
			f = &forecast.Forecast{}
		}
		f.Observe(float64(used[s])/float64(n), now)
		r.forecasts[s] = f
	}
}

// room returns the slots of an upstream that online calls are not expected to need while a run of a given length goes on.
func (r *runPlaces) room(name string, slots int, length time.Duration) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	f := r.forecasts[r.services[name]]
	if f == nil {
		return slots
	}
	return max(slots-int(math.Ceil(f.Most(length)*float64(slots))), 0)
}

// executorPlaces passes what an executor asks for.
type executorPlaces struct {
	components *components
}

// RunsWhole reports whether runs on an upstream are preempted only for calls that have no other place. An unreachable upstream
// keeps none, so that its items go on elsewhere.
func (e executorPlaces) RunsWhole(name string) bool {
	return e.components.places.runsWhole(name) && e.components.picker.Reachable(name)
}

// FreeElsewhere returns the number of free slots of the other upstreams of the same service.
func (e executorPlaces) FreeElsewhere(name string) int {
	return e.components.picker.FreeElsewhere(name, e.components.server.timer.Now())
}
