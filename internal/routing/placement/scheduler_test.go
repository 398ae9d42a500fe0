package placement_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/modelspec"
	"siskinrun/internal/routing/order"
	"siskinrun/internal/routing/placement"
)

var start = time.Unix(0, 0)

// fleet is a set of fake engines that load slowly, fail, restart and leave.
type fleet struct {
	random  *rand.Rand
	list    []upstream.Upstream
	loading []load
	// loadsHighest and modelsHighest are the most concurrent loads and the most models on one engine so far.
	loadsHighest  int
	modelsHighest int
}

type load struct {
	engine      int
	incarnation uint64
	model       string
	done        time.Time
	fails       bool
}

func newFleet(seed uint64, n int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, 9))}
	for i := range n {
		f.list = append(f.list, upstream.Upstream{
			Name: fmt.Sprint("e", i), FailureDomain: fmt.Sprint("d", i%3), Slots: 10, Incarnation: 1,
		})
	}
	return f
}

// apply carries out orders.
func (f *fleet) apply(l []order.Order, now time.Time) {
	for _, o := range l {
		i := slices.IndexFunc(f.list, func(u upstream.Upstream) bool { return u.Name == o.Engine })
		u := &f.list[i]
		switch o.Kind {
		case order.Load:
			d := time.Duration(20+f.random.IntN(95)) * time.Second
			f.loading = append(f.loading, load{i, u.Incarnation, o.Model, now.Add(d), f.random.IntN(10) == 0})
		case order.Unload:
			u.Models = slices.DeleteFunc(slices.Clone(u.Models), func(m string) bool { return m == o.Model })
		case order.Role:
			u.Role = o.Role
		}
	}
	f.loadsHighest = max(f.loadsHighest, len(f.loading))
}

// advance ends loads that are due.
func (f *fleet) advance(p *placement.Scheduler, now time.Time) {
	f.loading = slices.DeleteFunc(f.loading, func(l load) bool {
		u := &f.list[l.engine]
		if u.Incarnation != l.incarnation {
			return true
		}
		if now.Before(l.done) {
			return false
		}
		if l.fails {
			p.Failed(order.Order{Engine: u.Name, Kind: order.Load, Model: l.model}, now)
			return true
		}
		u.Models = append(slices.Clone(u.Models), l.model)
		f.modelsHighest = max(f.modelsHighest, len(u.Models))
		return true
	})
}

func (f *fleet) holders(model string) int {
	n := 0
	for _, u := range f.list {
		if !u.Leaving && slices.Contains(u.Models, model) {
			n++
		}
	}
	return n
}

func step(is *is.I, p *placement.Scheduler, f *fleet, list []upstream.Upstream, now time.Time) {
	f.advance(p, now)
	p.SetEngines(list, now)
	l := p.Plan(now)
	is.NoErr(p.Check(l, now))
	f.apply(l, now)
}

func TestRouteMovesOnceEnoughEnginesHoldNewVersion(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 6)
	for i := range 3 {
		f.list[i].Models = []string{"m@1"}
	}
	p := placement.NewScheduler(start.Add(-time.Hour))
	w := modelspec.Spec{Route: "m", Model: "m", Version: "1", MinEngines: 3, Serving: "1"}
	p.SetSpecs([]modelspec.Spec{w})
	step(is, p, f, f.list, start)
	is.Equal(p.Serving("m"), "1")
	w.Version = "2"
	p.SetSpecs([]modelspec.Spec{w})
	moved := time.Time{}
	for s := range 600 {
		now := start.Add(time.Duration(s) * time.Second)
		step(is, p, f, f.list, now)
		is.True(f.holders("m@1") == 3)
		if p.Serving("m") == "2" && moved.IsZero() {
			moved = now
			is.True(f.holders("m@2") >= 3)
		}
	}
	is.True(!moved.IsZero())
}

func TestDemandSetsReplicas(t *testing.T) {
	for _, c := range []struct {
		slots      float64
		minEngines int
		want       int
	}{
		{0, 0, 1},
		{0, 2, 2},
		{7, 0, 1},
		{7.1, 0, 2},
		{30, 1, 5},
		{1000, 1, 6},
	} {
		t.Run(fmt.Sprint(c.slots, c.minEngines), func(t *testing.T) {
			is := is.New(t)
			f := newFleet(1, 6)
			p := placement.NewScheduler(start.Add(-time.Hour))
			p.SetSpecs([]modelspec.Spec{{Route: "m", Model: "m", Version: "1", MinEngines: c.minEngines, Slots: c.slots}})
			for s := range 1200 {
				step(is, p, f, f.list, start.Add(time.Duration(s)*time.Second))
			}
			is.Equal(f.holders("m@1"), c.want)
		})
	}
}

func TestRolesFollowPrefillShare(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 6)
	p := placement.NewScheduler(start.Add(-time.Hour))
	p.SetSpecs([]modelspec.Spec{{Route: "m", Model: "m", Version: "1", MinEngines: 6, PrefillShare: 0.33}})
	for s := range 1200 {
		step(is, p, f, f.list, start.Add(time.Duration(s)*time.Second))
	}
	count := map[string]int{}
	for _, u := range f.list {
		count[u.Role]++
	}
	is.Equal(count, map[string]int{"prefill": 2, "decode": 4})
}

func TestNewPlannerWaitsForFormerLoads(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 3)
	p := placement.NewScheduler(start)
	p.SetSpecs([]modelspec.Spec{{Route: "m", Model: "m", Version: "1"}})
	p.SetEngines(f.list, start)
	is.Equal(len(p.Plan(start.Add(p.LoadTimeout-1))), 0)
	is.Equal(len(p.Plan(start.Add(p.LoadTimeout))), 1)
}

// TestRandomFleets checks the bounds on loads and models, and that a route moves only to a held version,
// through random engine faults, changes of specs and changes of the planner.
func TestRandomFleets(t *testing.T) {
	loads, moves := 0, 0
	for seed := range uint64(1000) {
		is := is.New(t)
		f := newFleet(seed, 4+int(seed%9))
		r := f.random
		p := placement.NewScheduler(start.Add(-time.Hour))
		wants := []modelspec.Spec{{Route: "m", Model: "m", Version: "1", MinEngines: 2}, {Route: "n", Model: "n", Version: "1", Adapter: "a"}}
		version := 1
		for s := range 120 {
			now := start.Add(time.Duration(s) * 5 * time.Second)
			u := &f.list[r.IntN(len(f.list))]
			switch r.IntN(40) {
			case 0: // restart without models
				u.Incarnation++
				u.Models = nil
				u.Leaving = false
			case 1:
				u.Leaving = true
			case 2:
				version++
				wants[r.IntN(2)].Version = fmt.Sprint(version)
			case 3:
				wants[r.IntN(2)].Slots = r.Float64() * 60
			case 4: // another planner takes over
				for i := range wants {
					wants[i].Serving = p.Serving(wants[i].Route)
				}
				p = placement.NewScheduler(now)
			}
			list := slices.Clone(f.list)
			if r.IntN(20) == 0 { // one engine is not announced
				i := r.IntN(len(list))
				list = slices.Delete(list, i, i+1)
			}
			before := p.Serving("m")
			p.SetSpecs(wants)
			step(is, p, f, list, now)
			is.True(len(f.loading) <= p.MaxLoads)
			is.True(f.modelsHighest <= p.ModelsPerEngine)
			if after := p.Serving("m"); after != before && before != "" {
				moves++
				is.True(f.holders("m@"+after) >= 1)
			}
		}
		loads = max(loads, f.loadsHighest)
	}
	is := is.New(t)
	is.Equal(loads, placement.DefaultMaxLoads) // the bound was reached
	is.True(moves > 100)
}

func BenchmarkPlan(b *testing.B) {
	f := newFleet(1, 1200)
	p := placement.NewScheduler(start.Add(-time.Hour))
	var wants []modelspec.Spec
	for i := range 20 {
		wants = append(wants, modelspec.Spec{Route: fmt.Sprint("m", i), Model: fmt.Sprint("m", i), Version: "1", MinEngines: 50})
	}
	p.SetSpecs(wants)
	b.ReportAllocs()
	for b.Loop() {
		p.SetEngines(f.list, start)
		p.Plan(start)
	}
}
