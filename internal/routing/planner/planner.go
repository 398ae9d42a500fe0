package planner

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/leadership"
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
	// DefaultInterval is the default time between two planning rounds.
	DefaultInterval = time.Second
	// DefaultLease is the default time after a change of leader during which the former leader may still send orders.
	DefaultLease = 10 * time.Second
)

// orderTimeout is the time from the decision on an order to its answer, shorter than a Lease.
const orderTimeout = 5 * time.Second

// maxConcurrentReads is the maximum number of engine states read in one planning round.
const maxConcurrentReads = 32

// engineClient reads the state of engines and sends them orders.
type engineClient interface {
	State(ctx context.Context, address string) (upstream.Upstream, error)
	Send(ctx context.Context, address string, o order.Order) error
}

// Planner sends orders to the engines of the fleet while its host leads.
type Planner struct {
	// Lead returns whether this host leads, and until when.
	Lead func() leadership.Status
	// Upstreams returns the known upstreams.
	Upstreams func() []upstream.Upstream
	// Configuration returns the configuration in force, or nil.
	Configuration func() *configuration.Configuration
	// OnlineRequests returns the number of online requests that all hosts have running on an upstream.
	OnlineRequests func(name string) int
	// Engines reads the state of engines and sends them orders.
	Engines engineClient
	// Interval is the time between two planning rounds.
	Interval time.Duration
	// Lease is the time after a change of leader during which the former leader may still send orders.
	Lease time.Duration
	// MaxOrderDelay is the maximum time between sending an order and its taking effect.
	MaxOrderDelay time.Duration
	// Timer is the clock.
	Timer *timer.Service
	// Log receives orders and their failures.
	Log zerolog.Logger

	term           uint64
	formerLeaseEnd time.Time
	fences         map[string]*engineFence
	schedulers     map[string]*placement.Scheduler
	demand         demand
}

// engineFence is the fence of one incarnation of an engine.
type engineFence struct {
	fence.Fence
	incarnation uint64
}

// NewPlanner returns a planner with the default times.
func NewPlanner() *Planner {
	return &Planner{Interval: DefaultInterval, Lease: DefaultLease, MaxOrderDelay: fence.DefaultMaxOrderDelay}
}

// Run plans at each interval until ctx ends.
func (p *Planner) Run(ctx context.Context) error {
	for {
		if err := p.Timer.Sleep(ctx, p.Interval); err != nil {
			return err
		}
		p.Step(ctx)
	}
}

// Step runs one planning round and sends its orders.
func (p *Planner) Step(ctx context.Context) {
	l := p.Lead()
	v := p.Configuration()
	if !l.Leading || v == nil {
		p.fences, p.schedulers = nil, nil
		p.term = 0
		return
	}
	if l.Term != p.term {
		p.startTerm(l)
	}
	list := p.engineList()
	p.updateFences(l, list)
	p.readStates(ctx, list)
	for _, s := range p.services(v) {
		p.plan(ctx, s, list, v)
	}
}

func (p *Planner) startTerm(l leadership.Status) {
	p.term = l.Term
	p.formerLeaseEnd = l.Since.Add(p.Lease)
	p.fences = make(map[string]*engineFence)
	p.schedulers = make(map[string]*placement.Scheduler)
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

// updateFences creates or renews the fence of each engine and drops those of removed engines.
func (p *Planner) updateFences(l leadership.Status, list []upstream.Upstream) {
	kept := make(map[string]*engineFence, len(list))
	for _, u := range list {
		g, ok := p.fences[u.Name]
		if !ok {
			g = &engineFence{Fence: *fence.NewFence(u.Fencing), incarnation: u.Incarnation}
			g.MaxOrderDelay = p.MaxOrderDelay
			g.Granted(p.term, l.Until, p.formerLeaseEnd)
		}
		if g.incarnation != u.Incarnation {
			g.incarnation = u.Incarnation
			g.Restarted()
		}
		g.Renewed(p.term, l.Until)
		kept[u.Name] = g
	}
	p.fences = kept
}

// readStates reads the state of the engines on which the former leader's orders can no longer take effect.
func (p *Planner) readStates(ctx context.Context, list []upstream.Upstream) {
	g := group.NewGroup(ctx)
	n := 0
	for i := range list {
		u := &list[i]
		f := p.fences[u.Name]
		started := p.Timer.Now()
		if n == maxConcurrentReads || !f.BeginRead(started) {
			continue
		}
		n++
		g.Go("read "+u.Name, func(ctx context.Context) error {
			s, err := p.Engines.State(ctx, u.Address)
			if err != nil {
				p.Log.Warn().Err(err).Str("upstream", u.Name).Msg("engine state not read")
				return nil
			}
			if s.Incarnation == u.Incarnation {
				u.Models, u.Role = s.Models, s.Role
				f.EndRead(started)
			}
			return nil
		})
	}
	_ = g.Wait()
}

// plan plans the orders to the engines of one service and sends them.
func (p *Planner) plan(ctx context.Context, service string, all []upstream.Upstream, v *configuration.Configuration) {
	var list []upstream.Upstream
	for _, u := range all {
		if u.Service == service {
			list = append(list, u)
		}
	}
	m, ok := p.schedulers[service]
	if !ok {
		m = placement.NewScheduler(p.formerLeaseEnd)
		m.Ready = p.ready
		p.schedulers[service] = m
	}
	n := p.Timer.Now()
	m.SetEngines(list, n)
	m.SetSpecs(p.specs(service, list, v, n))
	l := m.Plan(n)
	if err := m.Check(l, n); err != nil {
		p.Log.Error().Err(err).Msg("invalid plan, orders not sent")
		return
	}
	for _, o := range p.send(ctx, l, list) {
		m.Failed(o, p.Timer.Now())
	}
}

func (p *Planner) ready(name string) bool {
	g, ok := p.fences[name]
	if !ok {
		return false
	}
	return g.Ready(p.Timer.Now())
}

// send sends the orders and returns those that were not executed.
func (p *Planner) send(ctx context.Context, l []order.Order, list []upstream.Upstream) []order.Order {
	failed := make([]bool, len(l))
	g := group.NewGroup(ctx)
	for i, o := range l {
		now := p.Timer.Now()
		n, ok := p.fences[o.Engine].Order(now)
		failed[i] = !ok
		if !ok {
			continue
		}
		o.Fence, o.Until = n, now.Add(orderTimeout)
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
