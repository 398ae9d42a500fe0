package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/modelspec"
	"siskinrun/internal/routing/order"
)

const (
	// DefaultMaxLoads is the default maximum of concurrent loads in the fleet.
	DefaultMaxLoads = 4
	// DefaultLoadTimeout is the default time within which a loaded model must be announced.
	DefaultLoadTimeout = 2 * time.Minute
	// DefaultModelsPerEngine is the default number of models that an engine can hold.
	DefaultModelsPerEngine = 2
	// DefaultUtilization is the default share of the slots that demand should use.
	DefaultUtilization = 0.7
	// DefaultRetireDelay is the default time for which the previous version stays loaded after its route has moved.
	DefaultRetireDelay = 30 * time.Second
	// DefaultRoleDwell is the default minimum time between two role changes of an engine.
	DefaultRoleDwell = time.Minute
)

// Scheduler plans the orders to the engines of one service; it is not safe for concurrent use.
//
// One host plans at a time, under a lease. A new planner sends no load until all
// loads of the former one must have ended, so the bound on loads holds across planners.
type Scheduler struct {
	// MaxLoads is the maximum of concurrent loads in the fleet.
	MaxLoads int
	// LoadTimeout is the time after the order within which a loaded model must be announced.
	LoadTimeout time.Duration
	// ModelsPerEngine is the number of models that an engine can hold.
	ModelsPerEngine int
	// Utilization is the share of the slots that demand should use.
	Utilization float64
	// RetireDelay is the time for which the previous version stays loaded after its route has moved.
	RetireDelay time.Duration
	// RoleDwell is the minimum time between two role changes of an engine.
	RoleDwell time.Duration

	// Ready, if set, reports whether an engine may be sent orders.
	Ready func(engine string) bool

	formerLastLoad time.Time
	// engines also holds those that are no longer announced and may still be loading.
	engines    map[string]*engine
	announced  []*engine
	routes     map[string]*routeState
	routeNames []string
}

// routeState is the model of one route, with the version in use and the previous one.
type routeState struct {
	spec     modelspec.Spec
	serving  string
	previous string
	moved    time.Time
	replicas int
	wanted   bool
}

// NewScheduler returns a Scheduler; the former planner sent its last load by formerLastLoad.
func NewScheduler(formerLastLoad time.Time) *Scheduler {
	p := &Scheduler{
		MaxLoads:        DefaultMaxLoads,
		LoadTimeout:     DefaultLoadTimeout,
		ModelsPerEngine: DefaultModelsPerEngine,
		Utilization:     DefaultUtilization,
		RetireDelay:     DefaultRetireDelay,
		RoleDwell:       DefaultRoleDwell,
		formerLastLoad:  formerLastLoad,
		engines:         make(map[string]*engine),
		routes:          make(map[string]*routeState),
	}
	return p
}

// SetEngines sets the announced engines; one that is missing is kept while it may still be loading.
func (p *Scheduler) SetEngines(list []upstream.Upstream, now time.Time) {
	present := make(map[string]bool, len(list))
	for _, u := range list {
		present[u.Name] = true
		e, ok := p.engines[u.Name]
		if !ok || u.Incarnation > e.upstream.Incarnation {
			e = newEngine()
			p.engines[u.Name] = e
		}
		if u.Incarnation >= e.upstream.Incarnation {
			e.applyAnnouncement(u)
		}
	}
	p.announced = p.announced[:0]
	for name, e := range p.engines {
		e.expire(now, p.LoadTimeout)
		if present[name] {
			p.announced = append(p.announced, e)
		} else if len(e.loading) == 0 {
			delete(p.engines, name)
		}
	}
	slices.SortFunc(p.announced, func(a, b *engine) int { return cmp.Compare(a.upstream.Name, b.upstream.Name) })
}

// SetSpecs sets the models that routes need.
func (p *Scheduler) SetSpecs(list []modelspec.Spec) {
	for _, m := range p.routes {
		m.wanted = false
	}
	for _, w := range list {
		m, ok := p.routes[w.Route]
		if !ok {
			m = &routeState{serving: w.Serving}
			p.routes[w.Route] = m
		}
		m.spec = w
		m.wanted = true
	}
	p.routeNames = p.routeNames[:0]
	for n, m := range p.routes {
		if !m.wanted {
			delete(p.routes, n)
			continue
		}
		p.routeNames = append(p.routeNames, n)
	}
	slices.Sort(p.routeNames)
}

// Serving returns the version that requests on a route should use, or the empty string if none is ready.
func (p *Scheduler) Serving(route string) string {
	m, ok := p.routes[route]
	if !ok {
		return ""
	}
	return m.serving
}

// Failed records that an engine refused a load or failed to finish it.
func (p *Scheduler) Failed(o order.Order, now time.Time) {
	e, ok := p.engines[o.Engine]
	if !ok || o.Kind != order.Load {
		return
	}
	delete(e.loading, o.Model)
	e.failed[o.Model] = now
}

// Plan moves routes whose new version is ready and returns the orders to send now, without fencing tokens.
func (p *Scheduler) Plan(now time.Time) []order.Order {
	for _, e := range p.announced {
		e.expire(now, p.LoadTimeout)
	}
	p.computeReplicas()
	p.moveRoutes(now)
	var l []order.Order
	for _, n := range p.leastReadyFirst() {
		l = p.place(l, p.routes[n], now)
	}
	for _, n := range p.routeNames {
		l = p.assignRoles(l, p.routes[n], now)
	}
	return l
}

// computeReplicas computes how many engines each model needs.
func (p *Scheduler) computeReplicas() {
	available, slots := 0, 0
	for _, e := range p.announced {
		if !e.upstream.Leaving {
			available++
			slots += max(e.upstream.Slots, 1)
		}
	}
	for _, n := range p.routeNames {
		m := p.routes[n]
		m.replicas = max(m.spec.MinEngines, 1)
		if available > 0 {
			slotsPerEngine := float64(slots) / float64(available) * p.Utilization
			m.replicas = max(m.replicas, int(math.Ceil(m.spec.Slots/slotsPerEngine)))
		}
		m.replicas = min(m.replicas, max(available, 1))
	}
}

// moveRoutes moves a route to the wanted version once enough engines hold it.
func (p *Scheduler) moveRoutes(now time.Time) {
	for _, n := range p.routeNames {
		m := p.routes[n]
		v := m.spec.Version
		if m.serving == v || p.holders(m.spec.VersionedName(v)) < m.replicas {
			continue
		}
		m.previous = m.serving
		m.serving = v
		m.moved = now
	}
}

// leastReadyFirst returns the routes, those with the smallest share of ready engines first.
func (p *Scheduler) leastReadyFirst() []string {
	l := slices.Clone(p.routeNames)
	readyShare := func(n string) float64 {
		m := p.routes[n]
		return float64(p.holders(m.spec.VersionedName(m.spec.Version))) / float64(m.replicas)
	}
	slices.SortStableFunc(l, func(a, b string) int { return cmp.Compare(readyShare(a), readyShare(b)) })
	return l
}

// place orders loads of one model, and unloads to make room for it, up to the missing replicas and the bound on loads.
func (p *Scheduler) place(l []order.Order, m *routeState, now time.Time) []order.Order {
	model := m.spec.VersionedName(m.spec.Version)
	missing := m.replicas - p.holders(model) - p.loadsOf(model)
	for ; missing > 0 && p.mayLoad(now); missing-- {
		if e := p.target(model); e != nil {
			e.loading[model] = now
			l = append(l, order.Order{Engine: e.upstream.Name, Kind: order.Load, Model: model})
			continue
		}
		e, victim := p.victim(model, now)
		if e == nil {
			return l
		}
		e.unloading[victim] = now
		l = append(l, order.Order{Engine: e.upstream.Name, Kind: order.Unload, Model: victim})
	}
	return l
}

func (p *Scheduler) mayLoad(now time.Time) bool {
	return !now.Before(p.formerLastLoad.Add(p.LoadTimeout)) && p.loadsInProgress() < p.MaxLoads
}

// loadsInProgress returns the loads that may be running, including those on engines that are no longer announced.
func (p *Scheduler) loadsInProgress() int {
	n := 0
	for _, e := range p.engines {
		n += len(e.loading)
	}
	return n
}

func (p *Scheduler) holders(model string) int {
	n := 0
	for _, e := range p.announced {
		if e.holds(model) {
			n++
		}
	}
	return n
}

func (p *Scheduler) loadsOf(model string) int {
	n := 0
	for _, e := range p.announced {
		if _, ok := e.loading[model]; ok && !e.upstream.Leaving {
			n++
		}
	}
	return n
}
