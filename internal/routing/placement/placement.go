package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/order"
	"siskinrun/internal/routing/want"
)

const (
	// LoadsDefault is the default bound on the loads in the fleet at a time.
	LoadsDefault = 4
	// LoadTimeDefault is the default bound on the time from the order of a load to its showing.
	LoadTimeDefault = 2 * time.Minute
	// ModelsDefault is the default number of models that an engine holds.
	ModelsDefault = 2
	// FillDefault is the default share of the slots that demand should fill.
	FillDefault = 0.7
	// LingerDefault is the default time for which an old version stays after its route has moved.
	LingerDefault = 30 * time.Second
	// DwellDefault is the default least time between two changes of an engine's role.
	DwellDefault = time.Minute
)

// Placement plans the orders to the engines of one service; it serves one goroutine at a time.
//
// One host plans, under a lease. A new planner sends no load before those of the
// former one must have ended, so the bound on loads holds across planners.
type Placement struct {
	// Loads bounds the loads in the fleet at a time.
	Loads int
	// LoadTime bounds the time from the order of a load to its showing in an announcement.
	LoadTime time.Duration
	// Models is the number of models that an engine holds.
	Models int
	// Fill is the share of the slots that demand should fill.
	Fill float64
	// Linger is the time for which an old version stays after its route has moved.
	Linger time.Duration
	// Dwell is the least time between two changes of an engine's role.
	Dwell time.Duration

	// Ready, if set, reports whether an engine may be sent orders.
	Ready func(engine string) bool

	clear   time.Time
	engines map[string]*engine
	order   []*engine
	routes  map[string]*moving
	names   []string
}

// moving is one wanted model with the version that routes use and the one they left.
type moving struct {
	want    want.Want
	serving string
	former  string
	moved   time.Time
	need    int
	wanted  bool
}

// NewPlacement returns a planner; the former planner's last load was sent by former.
func NewPlacement(former time.Time) *Placement {
	p := &Placement{
		Loads:    LoadsDefault,
		LoadTime: LoadTimeDefault,
		Models:   ModelsDefault,
		Fill:     FillDefault,
		Linger:   LingerDefault,
		Dwell:    DwellDefault,
		clear:    former,
		engines:  make(map[string]*engine),
		routes:   make(map[string]*moving),
	}
	return p
}

// SetEngines takes in the engines as they are announced now; one out of sight is remembered while it may still load.
func (p *Placement) SetEngines(list []upstream.Upstream, now time.Time) {
	present := make(map[string]bool, len(list))
	for _, u := range list {
		present[u.Name] = true
		e, ok := p.engines[u.Name]
		if !ok || u.Incarnation > e.upstream.Incarnation {
			e = newEngine()
			p.engines[u.Name] = e
		}
		if u.Incarnation >= e.upstream.Incarnation {
			e.announce(u)
		}
	}
	p.order = p.order[:0]
	for name, e := range p.engines {
		e.expire(now, p.LoadTime)
		if present[name] {
			p.order = append(p.order, e)
		} else if len(e.loading) == 0 {
			delete(p.engines, name)
		}
	}
	slices.SortFunc(p.order, func(a, b *engine) int { return cmp.Compare(a.upstream.Name, b.upstream.Name) })
}

// SetWants takes in the models that routes ask for.
func (p *Placement) SetWants(list []want.Want) {
	for _, m := range p.routes {
		m.wanted = false
	}
	for _, w := range list {
		m, ok := p.routes[w.Route]
		if !ok {
			m = &moving{serving: w.Serving}
			p.routes[w.Route] = m
		}
		m.want = w
		m.wanted = true
	}
	p.names = p.names[:0]
	for n, m := range p.routes {
		if !m.wanted {
			delete(p.routes, n)
			continue
		}
		p.names = append(p.names, n)
	}
	slices.Sort(p.names)
}

// Serving returns the version that requests on a route should use, or the empty string if none is ready.
func (p *Placement) Serving(route string) string {
	m, ok := p.routes[route]
	if !ok {
		return ""
	}
	return m.serving
}

// Failed notes that an engine turned a load down or could not finish it.
func (p *Placement) Failed(o order.Order, now time.Time) {
	e, ok := p.engines[o.Engine]
	if !ok || o.Kind != order.Load {
		return
	}
	delete(e.loading, o.Model)
	e.failed[o.Model] = now
}

// Plan moves routes that may move and returns the orders to send now, without their fencing numbers.
func (p *Placement) Plan(now time.Time) []order.Order {
	for _, e := range p.order {
		e.expire(now, p.LoadTime)
	}
	p.require()
	p.move(now)
	var l []order.Order
	for _, n := range p.byLack() {
		l = p.place(l, p.routes[n], now)
	}
	for _, n := range p.names {
		l = p.roles(l, p.routes[n], now)
	}
	return l
}

// require finds how many engines each wanted model needs.
func (p *Placement) require() {
	able, slots := 0, 0
	for _, e := range p.order {
		if !e.upstream.Leaving {
			able++
			slots += max(e.upstream.Slots, 1)
		}
	}
	for _, n := range p.names {
		m := p.routes[n]
		m.need = max(m.want.Least, 1)
		if able > 0 {
			each := float64(slots) / float64(able) * p.Fill
			m.need = max(m.need, int(math.Ceil(m.want.Slots/each)))
		}
		m.need = min(m.need, max(able, 1))
	}
}

// move lets a route use the wanted version once enough engines hold it.
func (p *Placement) move(now time.Time) {
	for _, n := range p.names {
		m := p.routes[n]
		v := m.want.Version
		if m.serving == v || p.holders(m.want.At(v)) < m.need {
			continue
		}
		m.former = m.serving
		m.serving = v
		m.moved = now
	}
}

// byLack returns the wanted models, those that lack most engines first.
func (p *Placement) byLack() []string {
	l := slices.Clone(p.names)
	lack := func(n string) float64 {
		m := p.routes[n]
		return float64(p.holders(m.want.At(m.want.Version))) / float64(m.need)
	}
	slices.SortStableFunc(l, func(a, b string) int { return cmp.Compare(lack(a), lack(b)) })
	return l
}

// place orders one model onto as many engines as it lacks and the bound allows.
func (p *Placement) place(l []order.Order, m *moving, now time.Time) []order.Order {
	model := m.want.At(m.want.Version)
	lack := m.need - p.holders(model) - p.loadingOf(model)
	for ; lack > 0 && p.mayLoad(now); lack-- {
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

func (p *Placement) mayLoad(now time.Time) bool {
	return !now.Before(p.clear.Add(p.LoadTime)) && p.loads() < p.Loads
}

// loads returns the loads that may be running, also on engines that are out of sight.
func (p *Placement) loads() int {
	n := 0
	for _, e := range p.engines {
		n += len(e.loading)
	}
	return n
}

func (p *Placement) holders(model string) int {
	n := 0
	for _, e := range p.order {
		if e.holds(model) {
			n++
		}
	}
	return n
}

func (p *Placement) loadingOf(model string) int {
	n := 0
	for _, e := range p.order {
		if _, ok := e.loading[model]; ok && !e.upstream.Leaving {
			n++
		}
	}
	return n
}
