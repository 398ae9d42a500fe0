package planner_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/leadership"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/order"
	"siskinrun/internal/routing/planner"
	"siskinrun/pkg/refusal"
)

// fleet is a set of fake engines that execute orders at once.
type fleet struct {
	mu          sync.Mutex
	list        []upstream.Upstream
	orders      []order.Order
	reads       int
	unreachable bool
}

func (f *fleet) State(_ context.Context, address string) (upstream.Upstream, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.reads++
	return *f.at(address), nil
}

func (f *fleet) Send(_ context.Context, address string, o order.Order) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unreachable {
		return refusal.NewNotRun(503, "upstream-unreachable", "down")
	}
	f.orders = append(f.orders, o)
	if u := f.at(address); o.Kind == order.Load {
		u.Models = append(slices.Clone(u.Models), o.Model)
	}
	return nil
}

func (f *fleet) at(address string) *upstream.Upstream {
	return &f.list[slices.IndexFunc(f.list, func(u upstream.Upstream) bool { return u.Address == address })]
}

func newFleet(n int, fencing bool) *fleet {
	f := &fleet{}
	for i := range n {
		f.list = append(f.list, upstream.Upstream{
			Name: fmt.Sprint("e", i), Address: fmt.Sprint("a", i), Kind: upstream.Engine, Service: "llm",
			Models: []string{"m@1"}, Slots: 10, Fencing: fencing, Incarnation: 1,
		})
	}
	return f
}

func newPlanner(s *timer.Service, f *fleet, l *leadership.Status) *planner.Planner {
	p := planner.NewPlanner()
	p.Timer = s
	p.Engines = f
	p.Lead = func() leadership.Status {
		v := *l
		v.Until = s.Now().Add(5 * time.Second)
		return v
	}
	p.Upstreams = func() []upstream.Upstream { return slices.Clone(f.list) }
	p.Configuration = func() *configuration.Configuration {
		return &configuration.Configuration{
			Routes: map[string]route.Route{"chat": {Model: "m", Version: "2", Service: "llm"}},
			Models: map[string]model.Model{"m": {Versions: []string{"1", "2"}, MinReplicas: 2}},
		}
	}
	p.OnlineRequests = func(string) int { return 0 }
	return p
}

func run(p *planner.Planner, s *timer.Service, d time.Duration) {
	for end := s.Now().Add(d); s.Now().Before(end); s.Advance(time.Second) {
		p.Step(context.Background())
	}
}

func TestLeaderLoadsRoutedModels(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprint(fencing), func(t *testing.T) {
			is := is.New(t)
			s := timer.NewManual(time.Unix(1000, 0))
			f := newFleet(3, fencing)
			l := &leadership.Status{Term: 7, Since: s.Now()}
			p := newPlanner(s, f, l)
			run(p, s, 10*time.Minute)
			is.Equal(f.reads+len(f.orders), 0) // this host does not lead
			l.Leading = true
			l.Since = s.Now()
			run(p, s, p.Lease+p.MaxOrderDelay-time.Second)
			is.Equal(len(f.orders), 0) // loads of the former leader may still run
			is.Equal(f.reads > 0, fencing)
			run(p, s, time.Minute)
			is.Equal(len(f.orders), 2)
			is.Equal(f.reads, 3)
			for _, o := range f.orders {
				is.Equal(o.Kind, order.Load)
				is.Equal(o.Model, "m@2")
				is.Equal(o.Fence, uint64(7))
			}
			f.list[0].Incarnation++
			f.list[0].Models = nil
			run(p, s, time.Minute)
			is.Equal(f.reads, 4) // the state of a restarted engine is read again
		})
	}
}

func TestNoOrdersAfterLostLeadership(t *testing.T) {
	is := is.New(t)
	s := timer.NewManual(time.Unix(1000, 0))
	f := newFleet(3, true)
	l := &leadership.Status{Leading: true, Term: 7, Since: s.Now().Add(-time.Hour)}
	p := newPlanner(s, f, l)
	f.unreachable = true
	run(p, s, time.Minute)
	is.Equal(len(f.orders), 0)
	f.unreachable = false
	l.Leading = false
	run(p, s, 10*time.Minute)
	is.Equal(len(f.orders), 0)
	l.Leading, l.Term = true, 9
	run(p, s, time.Minute)
	is.Equal(len(f.orders), 2)
	is.Equal(f.orders[0].Fence, uint64(9))
}

func TestDemandLoadsMoreEngines(t *testing.T) {
	is := is.New(t)
	s := timer.NewManual(time.Unix(1000, 0))
	f := newFleet(6, true)
	p := newPlanner(s, f, &leadership.Status{Leading: true, Term: 1, Since: s.Now().Add(-time.Hour)})
	p.OnlineRequests = func(string) int { return 5 }
	run(p, s, time.Minute)
	is.Equal(len(f.orders), 5) // 30 requests in flight on engines with 10 slots at 0.7 utilization
}
