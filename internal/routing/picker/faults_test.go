package picker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/picker"
	"siskinrun/internal/routing/retry"
	"siskinrun/pkg/verdict"
)

const (
	faultHosts     = 3
	faultUpstreams = 12
	gossipDelay    = time.Second
	callTimeout    = 2 * time.Second
	callTime       = 20 * time.Millisecond
)

// state is the behaviour of a fake upstream: refusing answers that it did not run the request, failing that it may
// have run it, and silent does not answer.
type state int

const (
	up state = iota
	refusing
	failing
	silent
	leaving
	faultStates
)

// faultSimulation runs a few hosts against fake upstreams whose faults the test sets.
type faultSimulation struct {
	clock         *timer.Service
	random        *rand.Rand
	hosts         [faultHosts]*picker.Picker
	budgets       [faultHosts]*retry.Budget
	list          []upstream.Upstream
	states        [faultUpstreams]state
	since         [faultUpstreams]time.Time
	requests      int
	sent          int
	answered      int
	sentToLeaving int
	sentToSilent  int
	unsafeRetries int
}

func newFaultSimulation(seed uint64) *faultSimulation {
	f := &faultSimulation{clock: timer.NewManual(start), random: rand.New(rand.NewPCG(seed, 4)), list: fleet(faultUpstreams, 3)}
	for i := range f.hosts {
		f.hosts[i] = picker.NewPicker(seed + uint64(i))
		f.hosts[i].SetUpstreams(f.list, start)
		f.budgets[i] = retry.NewBudget()
	}
	f.clock.Every(200*time.Millisecond, f.reports)
	return f
}

func (f *faultSimulation) reports(now time.Time) {
	for i, u := range f.list {
		if f.states[i] == silent || f.states[i] == refusing {
			continue
		}
		for _, h := range f.hosts {
			h.Report(loadreport.Report{Upstream: u.Name, Incarnation: u.Incarnation}, now)
		}
	}
}

// setState changes the behaviour of an upstream; announcements of leaving and return arrive late and out of order.
func (f *faultSimulation) setState(i int, s state) {
	previous := f.states[i]
	f.states[i] = s
	f.since[i] = f.clock.Now()
	stale := append([]upstream.Upstream(nil), f.list...)
	if previous == leaving {
		f.list[i].Incarnation++
	}
	f.list[i].Leaving = s == leaving
	current := append([]upstream.Upstream(nil), f.list...)
	f.clock.After(gossipDelay, func(now time.Time) {
		for _, h := range f.hosts {
			h.SetUpstreams(current, now)
			h.SetUpstreams(stale, now)
		}
	})
}

func (f *faultSimulation) request(now time.Time) {
	f.requests++
	h := f.random.IntN(faultHosts)
	f.budgets[h].Request(now)
	f.attempt(h, now, nil, route.Route{Repeatable: f.random.IntN(2) == 0})
}

func (f *faultSimulation) attempt(h int, now time.Time, tried []string, t route.Route) {
	c := f.hosts[h]
	u, ok := c.Pick(now, demand.Demand{
		Service: "llm", Model: "m", FailureDomain: fmt.Sprintf("d%d", h), Tried: tried, Repeatable: t.Repeatable,
	})
	if !ok {
		return
	}
	c.Started(u.Name)
	f.sent++
	i := number(u.Name)
	age := now.Sub(f.since[i])
	if f.states[i] == leaving && age > 3*time.Second {
		f.sentToLeaving++
	}
	if f.states[i] == silent && age > callTimeout+2*time.Second {
		f.sentToSilent++
	}
	d, o, v := callTime, outcome.Succeeded, verdict.Ran
	switch f.states[i] {
	case refusing:
		d, o, v = time.Millisecond, outcome.Failed, verdict.NotRun
	case failing:
		o, v = outcome.Failed, verdict.MayHaveRun
	case silent:
		d, o, v = callTimeout, outcome.TimedOut, verdict.MayHaveRun
	}
	f.clock.After(d, func(now time.Time) {
		c.Finished(u.Name, o, d, now)
		f.budgets[h].Observe(o)
		if o == outcome.Succeeded {
			f.answered++
			return
		}
		if !f.budgets[h].Allow(now, v, t, len(tried)+1, 0) {
			return
		}
		if v == verdict.MayHaveRun && !t.Repeatable {
			f.unsafeRetries++
		}
		f.attempt(h, now, append(tried, u.Name), t)
	})
}

// run sends 200 requests a second.
func (f *faultSimulation) run(is *is.I, d time.Duration) {
	for range d / (5 * time.Millisecond) {
		f.request(f.clock.Now())
		f.clock.Advance(5 * time.Millisecond)
	}
	for _, h := range f.hosts {
		is.NoErr(h.Check())
	}
}

// checkAllRestored checks that no host has an upstream ejected.
func (f *faultSimulation) checkAllRestored(is *is.I) {
	for _, u := range f.list {
		for _, h := range f.hosts {
			is.True(!h.Ejection.Ejected(u.Name))
		}
	}
}

// checkInvariants checks the rules that hold at any time: no request to a leaving upstream, no unsafe retry, retries within budget.
func (f *faultSimulation) checkInvariants(is *is.I) {
	is.Equal(f.sentToLeaving, 0)
	is.Equal(f.unsafeRetries, 0)
	r := f.budgets[0]
	seconds := f.clock.Now().Sub(start).Seconds()
	most := r.Ratio*float64(f.requests) + faultHosts*(r.Burst+r.MinRate*seconds)
	is.True(float64(f.sent-f.requests) <= most)
}

func TestOneFault(t *testing.T) {
	for s, name := range map[state]string{refusing: "refusing", failing: "failing", silent: "silent", leaving: "leaving"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFaultSimulation(1)
			f.run(is, 5*time.Second)
			f.setState(4, s)
			f.run(is, 20*time.Second)
			f.checkInvariants(is)
			is.True(f.sentToSilent <= 10) // probes
			f.setState(4, up)
			f.run(is, 60*time.Second)
			before, requests := f.answered, f.requests
			f.run(is, 10*time.Second)
			is.True(f.answered-before >= f.requests-requests-5) // except for calls in flight
			f.checkAllRestored(is)
		})
	}
}

func TestFullOutageCausesNoRetryStorm(t *testing.T) {
	for s, name := range map[state]string{refusing: "refusing", silent: "silent", failing: "failing"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFaultSimulation(2)
			f.run(is, 5*time.Second)
			for range 2 {
				for i := range faultUpstreams {
					f.setState(i, s)
				}
				f.run(is, 3*time.Second)
				sent, requests := f.sent, f.requests
				f.run(is, 30*time.Second)
				f.checkInvariants(is)
				is.True(float64(f.sent-sent) <= 1.02*float64(f.requests-requests)) // retries stop
				for i := range faultUpstreams {
					f.setState(i, up)
				}
				f.run(is, 30*time.Second)
				before, healed := f.answered, f.requests
				f.run(is, 10*time.Second)
				is.True(f.answered-before >= f.requests-healed-5)
			}
		})
	}
}

func TestRandomConcurrentFaults(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		f := newFaultSimulation(seed)
		f.run(is, time.Second)
		for range 8 {
			for range 1 + f.random.IntN(faultUpstreams) {
				f.setState(f.random.IntN(faultUpstreams), state(f.random.IntN(int(faultStates))))
			}
			f.run(is, time.Duration(f.random.IntN(4000))*time.Millisecond)
			f.checkInvariants(is)
		}
		for i := range faultUpstreams {
			f.setState(i, up)
		}
		f.run(is, 70*time.Second)
		before, healed := f.answered, f.requests
		f.run(is, 5*time.Second)
		f.checkInvariants(is)
		f.checkAllRestored(is)
		is.True(f.answered-before >= f.requests-healed-5)
	}
}
