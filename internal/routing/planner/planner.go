package planner

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/lead"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/fence"
	"siskinrun/internal/routing/order"
	"siskinrun/internal/routing/placement"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	// IntervalDefault is the default time between two plans.
	IntervalDefault = time.Second
	// LeaseDefault is the default time for which a former leader may still have sent orders.
	LeaseDefault = 10 * time.Second
)

const readsMax = 32

// engines reads the state of engines and gives them orders.
type engines interface {
	State(ctx context.Context, address string) (upstream.Upstream, error)
	Send(ctx context.Context, address string, o order.Order) error
}

// Planner sends orders to the engines of the fleet while its host leads.
type Planner struct {
	// Lead tells whether this host leads, and for how long.
	Lead func() lead.Lead
	// Upstreams returns the upstreams known now.
	Upstreams func() []upstream.Upstream
	// View returns the configuration in force, or nil.
	View func() *configuration.Configuration
	// Busy returns the online requests that all hosts have running on an upstream.
	Busy func(name string) int
	// Engines reads the state of engines and gives them orders.
	Engines engines
	// Interval is the time between two plans.
	Interval time.Duration
	// Lease is the time for which a former leader may still have sent orders.
	Lease time.Duration
	// Longest bounds the time from sending an order to its taking effect.
	Longest time.Duration
	// Timer tells the time.
	Timer *timer.Service
	// Log takes orders and their failures.
	Log zerolog.Logger

	term   uint64
	former time.Time
	guards map[string]*guard
	places map[string]*placement.Placement
	demand demand
}

// guard is the fence of one incarnation of an engine.
type guard struct {
	fence.Fence
	incarnation uint64
}

// NewPlanner returns a planner with the default times.
func NewPlanner() *Planner {
	return &Planner{Interval: IntervalDefault, Lease: LeaseDefault, Longest: fence.LongestDefault}
}

// Run plans until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	for {
		if err := p.Timer.Sleep(ctx, p.Interval); err != nil {
			return err
		}
		p.Step(ctx)
	}
}

// Step makes one plan and sends its orders.
func (p *Planner) Step(ctx context.Context) {
	l := p.Lead()
	v := p.View()
	if !l.Leading || v == nil {
		p.guards, p.places = nil, nil
		p.term = 0
		return
	}
	if l.Term != p.term {
		p.begin(l)
	}
	list := p.engineList()
	p.guard(l, list)
	p.read(ctx, list)
	for _, s := range p.services(v) {
		p.plan(ctx, s, list, v)
	}
}

func (p *Planner) begin(l lead.Lead) {
	p.term = l.Term
	p.former = l.Since.Add(p.Lease)
	p.guards = make(map[string]*guard)
	p.places = make(map[string]*placement.Placement)
	p.demand = demand{}
}

func (p *Planner) engineList() []upstream.Upstream {
	var l []upstream.Upstream
	for _, u := range p.Upstreams() {
		if u.Kind == upstream.Engine {
			l = append(l, u)
		}
	}
	return l
}

// guard begins or renews the fence of each engine and forgets those of engines that have gone.
func (p *Planner) guard(l lead.Lead, list []upstream.Upstream) {
	kept := make(map[string]*guard, len(list))
	for _, u := range list {
		g, ok := p.guards[u.Name]
		if !ok {
			g = &guard{Fence: *fence.NewFence(u.Fencing), incarnation: u.Incarnation}
			g.Longest = p.Longest
			g.Granted(p.term, l.Until, p.former)
		}
		if g.incarnation != u.Incarnation {
			g.incarnation = u.Incarnation
			g.Restarted()
		}
		g.Renewed(p.term, l.Until)
		kept[u.Name] = g
	}
	p.guards = kept
}

// read reads back the state of engines whose former holder can do nothing more.
func (p *Planner) read(ctx context.Context, list []upstream.Upstream) {
	g := group.NewGroup(ctx)
	n := 0
	for i := range list {
		u := &list[i]
		f := p.guards[u.Name]
		asked := p.Timer.Now()
		if n == readsMax || !f.ReadBack(asked) {
			continue
		}
		n++
		g.Go("read "+u.Name, func(ctx context.Context) error {
			s, err := p.Engines.State(ctx, u.Address)
			if err != nil {
				p.Log.Warn().Err(err).Str("upstream", u.Name).Msg("state not read")
				return nil
			}
			if s.Incarnation == u.Incarnation {
				u.Models, u.Role = s.Models, s.Role
				f.Read(asked)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// plan plans the engines of one service and sends the orders.
func (p *Planner) plan(ctx context.Context, service string, all []upstream.Upstream, v *configuration.Configuration) {
	var list []upstream.Upstream
	for _, u := range all {
		if u.Service == service {
			list = append(list, u)
		}
	}
	m, ok := p.places[service]
	if !ok {
		m = placement.NewPlacement(p.former)
		m.Ready = p.ready
		p.places[service] = m
	}
	n := p.Timer.Now()
	m.SetEngines(list, n)
	m.SetWants(p.wants(service, list, v, n))
	l := m.Plan(n)
	if err := m.Check(l, n); err != nil {
		p.Log.Error().Err(err).Msg("orders not sent")
		return
	}
	for _, o := range p.send(ctx, l, list) {
		m.Failed(o, p.Timer.Now())
	}
}

func (p *Planner) ready(name string) bool {
	g, ok := p.guards[name]
	if !ok {
		return false
	}
	return g.Settled(p.Timer.Now())
}

// send gives the orders to the engines and returns those that were not taken.
func (p *Planner) send(ctx context.Context, l []order.Order, list []upstream.Upstream) []order.Order {
	failed := make([]bool, len(l))
	g := group.NewGroup(ctx)
	for i, o := range l {
		n, ok := p.guards[o.Engine].Order(p.Timer.Now())
		failed[i] = !ok
		if !ok {
			continue
		}
		o.Fence = n
		g.Go("order "+o.Engine, func(ctx context.Context) error {
			err := p.Engines.Send(ctx, address(list, o.Engine), o)
			failed[i] = err != nil && refusal.Of(err).Verdict == verdict.NotRun
			p.Log.Info().Err(err).Str("upstream", o.Engine).Str("kind", o.Kind).Str("model", o.Model).Str("role", o.Role).Msg("order")
			return nil
		})
	}
	_ = g.Wait()
	var out []order.Order
	for i, o := range l {
		if failed[i] {
			out = append(out, o)
		}
	}
	return out
}

func address(list []upstream.Upstream, name string) string {
	for _, u := range list {
		if u.Name == name {
			return u.Address
		}
	}
	return ""
}
