package simulation

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
	engineCount   = 4
	plannerLease  = 1500 * time.Millisecond
	maxOrderDelay = 2 * time.Second
	loadTimeout   = 4 * time.Second
	maxLoads      = 2
)

// fakeEngine is a simulated engine that loads models and, if it checks, refuses orders with an old fencing token.
type fakeEngine struct {
	name         string
	checksFence  bool
	models       []string
	loading      []string
	highestToken uint64
}

// planner is one lease of the planner's role, held by one run of a host.
type planner struct {
	host      *host
	token     uint64
	until     time.Time
	placement *placement.Scheduler
	fences    map[string]*fence.Fence
}

// planners moves the planner's role from host to host.
type planners struct {
	w            *simulation
	engines      []*fakeEngine
	current      *planner
	lastToken    uint64
	modelVersion int
}

func newPlanners(w *simulation) *planners {
	p := &planners{w: w, modelVersion: 1}
	for i := range engineCount {
		p.engines = append(p.engines, &fakeEngine{name: fmt.Sprint("e", i), checksFence: i == 0})
	}
	p.grant(w.hosts[0], w.start)
	return p
}

// grant grants the lease to a host; former is when the previous lease had ended at the latest, on that host's clock.
func (p *planners) grant(h *host, former time.Time) {
	w := p.w
	p.lastToken++
	if w.injected == dropFence {
		former = time.Time{}
	}
	n := &planner{
		host: h, token: p.lastToken, until: h.now().Add(plannerLease),
		placement: placement.NewScheduler(former), fences: map[string]*fence.Fence{},
	}
	n.placement.MaxLoads = maxLoads
	n.placement.LoadTimeout = loadTimeout
	n.placement.RetireDelay = time.Second
	n.placement.RoleDwell = time.Second
	for _, e := range p.engines {
		f := fence.NewFence(e.checksFence)
		f.MaxOrderDelay = maxOrderDelay
		if w.injected == dropFence {
			f.MaxOrderDelay = 0
		}
		f.Granted(n.token, n.until, former)
		n.fences[e.name] = f
	}
	n.placement.Ready = func(e string) bool { return n.fences[e].Ready(h.now()) }
	p.current = n
	w.logEvent("fleet", "%s plans under lease %d", h.name, n.token)
	h.repeat(50*time.Millisecond, func() { p.plan(n) })
}

// disturb now and then changes the wanted model version, and renews the lease or moves the planner's role.
func (p *planners) disturb() {
	w := p.w
	if w.chance(orders, 10) {
		p.modelVersion++
	}
	n := p.current
	if n == nil {
		return
	}
	if !n.host.dead && !n.host.partitioned && !w.chance(orders, 4) {
		n.until = n.host.now().Add(plannerLease)
		for _, f := range n.fences {
			f.Renewed(n.token, n.until)
		}
		return
	}
	p.current = nil
	w.after(plannerLease+plannerLease/500, p.reassign)
}

func (p *planners) reassign() {
	h := p.w.reachable(orders)
	if h == nil {
		p.w.after(plannerLease, p.reassign)
		return
	}
	p.grant(h, h.now())
}

// plan sends the orders that the lease holder may send now.
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
		{Route: "a", Model: "a", Version: fmt.Sprint(p.modelVersion), MinEngines: 2, Slots: 8},
		{Route: "b", Model: "b", Version: fmt.Sprint(p.modelVersion), MinEngines: 1, Slots: 4},
	})
	l := n.placement.Plan(t)
	w.check("placement", n.placement.Check(l, t))
	for _, o := range l {
		var ok bool
		o.Fence, ok = n.fences[o.Engine].Order(t)
		w.check(o.Engine, n.fences[o.Engine].Check())
		if ok {
			w.logEvent(o.Engine, "%s orders %s %s under lease %d", h.name, o.Kind, o.Model, o.Fence)
			w.after(p.orderDelay(), func() { p.receive(n, o) })
		}
	}
}

func (p *planners) announced() []upstream.Upstream {
	var l []upstream.Upstream
	for _, e := range p.engines {
		l = append(l, upstream.Upstream{
			Name: e.name, Address: e.name, Kind: upstream.Engine, Service: "llm", Slots: 8,
			Models: slices.Clone(e.models), Fencing: e.checksFence, Incarnation: 1, Role: "mixed",
		})
	}
	return l
}

// orderDelay returns how long an order is under way, less than maxOrderDelay.
func (p *planners) orderDelay() time.Duration {
	if p.w.chance(orders, 50) {
		return time.Duration(p.w.randoms[orders].Int64N(int64(maxOrderDelay)))
	}
	return time.Millisecond
}

// receive lets an engine receive an order and checks its fencing token.
func (p *planners) receive(n *planner, o order.Order) {
	w := p.w
	e := p.engines[slices.IndexFunc(p.engines, func(e *fakeEngine) bool { return e.name == o.Engine })]
	if o.Fence < e.highestToken {
		if !e.checksFence {
			w.fail(e.name, "takes an order of lease %d after one of lease %d", o.Fence, e.highestToken)
		}
		return
	}
	e.highestToken = o.Fence
	w.counts["orders"]++
	w.logEvent(e.name, "takes %s %s of lease %d", o.Kind, o.Model, o.Fence)
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
	if all > maxLoads {
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
