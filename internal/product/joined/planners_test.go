package joined

import (
	"fmt"
	"slices"
	"time"

	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/fence"
	"siskinrun/internal/routing/modelspec"
	"siskinrun/internal/routing/order"
	"siskinrun/internal/routing/placement"
)

const (
	engineCount  = 4
	plannerLease = 1500 * time.Millisecond
	longestOrder = 2 * time.Second
	longestLoad  = 4 * time.Second
	mostLoads    = 2
)

// fakeEngine loads models and, if it checks, refuses orders with an old fencing number.
type fakeEngine struct {
	name    string
	checks  bool
	models  []string
	loading []string
	highest uint64
}

// planner is one lease on the planning, held by one run of a host.
type planner struct {
	host      *host
	number    uint64
	until     time.Time
	placement *placement.Scheduler
	fences    map[string]*fence.Fence
}

// planners hands the planning from host to host.
type planners struct {
	w       *world
	engines []*fakeEngine
	now     *planner
	number  uint64
	version int
}

func newPlanners(w *world) *planners {
	p := &planners{w: w, version: 1}
	for i := range engineCount {
		p.engines = append(p.engines, &fakeEngine{name: fmt.Sprint("e", i), checks: i == 0})
	}
	p.grant(w.hosts[0], w.start)
	return p
}

// grant gives the lease to a host; the former one had ended by a time on that host's clock.
func (p *planners) grant(h *host, former time.Time) {
	w := p.w
	p.number++
	if w.wrong == dropFence {
		former = time.Time{}
	}
	n := &planner{
		host: h, number: p.number, until: h.now().Add(plannerLease),
		placement: placement.NewScheduler(former), fences: map[string]*fence.Fence{},
	}
	n.placement.MaxLoads = mostLoads
	n.placement.LoadTimeout = longestLoad
	n.placement.RetireDelay = time.Second
	n.placement.RoleDwell = time.Second
	for _, e := range p.engines {
		f := fence.NewFence(e.checks)
		f.MaxOrderDelay = longestOrder
		if w.wrong == dropFence {
			f.MaxOrderDelay = 0
		}
		f.Granted(n.number, n.until, former)
		n.fences[e.name] = f
	}
	n.placement.Ready = func(e string) bool { return n.fences[e].Ready(h.now()) }
	p.now = n
	w.note("fleet", "%s plans by lease %d", h.name, n.number)
	h.again(50*time.Millisecond, func() { p.plan(n) })
}

// disturb asks for another version, and moves the planning.
func (p *planners) disturb() {
	w := p.w
	if w.chance(orders, 10) {
		p.version++
	}
	n := p.now
	if n == nil {
		return
	}
	if !n.host.dead && !n.host.cut && !w.chance(orders, 4) {
		n.until = n.host.now().Add(plannerLease)
		for _, f := range n.fences {
			f.Renewed(n.number, n.until)
		}
		return
	}
	p.now = nil
	w.after(plannerLease+plannerLease/500, p.move)
}

func (p *planners) move() {
	h := p.w.reachable(orders)
	if h == nil {
		p.w.after(plannerLease, p.move)
		return
	}
	p.grant(h, h.now())
}

// plan sends the orders that a holder may send now.
func (p *planners) plan(n *planner) {
	w, h := p.w, n.host
	t := h.now()
	for _, e := range p.engines {
		f := n.fences[e.name]
		if f.BeginRead(t) {
			h.after(w.delay(), func() { f.EndRead(t) })
		}
		w.check(e.name, f.Check())
	}
	if !t.Before(n.until) {
		return
	}
	n.placement.SetEngines(p.announced(), t)
	n.placement.SetSpecs([]modelspec.Spec{
		{Route: "a", Model: "a", Version: fmt.Sprint(p.version), MinEngines: 2, Slots: 8},
		{Route: "b", Model: "b", Version: fmt.Sprint(p.version), MinEngines: 1, Slots: 4},
	})
	l := n.placement.Plan(t)
	w.check("placement", n.placement.Check(l, t))
	for _, o := range l {
		var ok bool
		o.Fence, ok = n.fences[o.Engine].Order(t)
		w.check(o.Engine, n.fences[o.Engine].Check())
		if ok {
			w.note(o.Engine, "%s orders %s %s by lease %d", h.name, o.Kind, o.Model, o.Fence)
			w.after(p.delay(), func() { p.take(n, o) })
		}
	}
}

func (p *planners) announced() []upstream.Upstream {
	var l []upstream.Upstream
	for _, e := range p.engines {
		l = append(l, upstream.Upstream{
			Name: e.name, Address: e.name, Kind: upstream.Engine, Service: "llm", Slots: 8,
			Models: slices.Clone(e.models), Fencing: e.checks, Incarnation: 1, Role: "mixed",
		})
	}
	return l
}

// delay returns the time that an order takes, at most longestOrder.
func (p *planners) delay() time.Duration {
	if p.w.chance(orders, 50) {
		return time.Duration(p.w.randoms[orders].Int64N(int64(longestOrder)))
	}
	return time.Millisecond
}

// take lets an engine take an order.
func (p *planners) take(n *planner, o order.Order) {
	w := p.w
	e := p.engines[slices.IndexFunc(p.engines, func(e *fakeEngine) bool { return e.name == o.Engine })]
	if o.Fence < e.highest {
		if !e.checks {
			w.fail(e.name, "takes an order of lease %d after one of lease %d", o.Fence, e.highest)
		}
		return
	}
	e.highest = o.Fence
	w.tally["orders"]++
	w.note(e.name, "takes %s %s of lease %d", o.Kind, o.Model, o.Fence)
	switch o.Kind {
	case order.Unload:
		e.models = slices.DeleteFunc(e.models, func(m string) bool { return m == o.Model })
	case order.Load:
		p.load(n, e, o)
	}
}

func (p *planners) load(n *planner, e *fakeEngine, o order.Order) {
	w := p.w
	if slices.Contains(e.models, o.Model) || slices.Contains(e.loading, o.Model) {
		return
	}
	e.loading = append(e.loading, o.Model)
	all := 0
	for _, x := range p.engines {
		all += len(x.loading)
	}
	if all > mostLoads {
		w.fail(e.name, "%d loads at a time", all)
	}
	w.after(200*time.Millisecond+time.Duration(w.randoms[orders].Int64N(int64(time.Second))), func() {
		e.loading = slices.DeleteFunc(e.loading, func(m string) bool { return m == o.Model })
		if w.chance(orders, 5) {
			n.host.after(w.delay(), func() { n.placement.Failed(o, n.host.now()) })
			return
		}
		e.models = append(e.models, o.Model)
	})
}
