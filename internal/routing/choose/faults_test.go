package choose_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/report"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/choose"
	"siskinrun/internal/routing/retry"
	"siskinrun/pkg/verdict"
)

const (
	faultHosts     = 3
	faultUpstreams = 12
	spreadDelay    = time.Second
	callTimeout    = 2 * time.Second
	callTime       = 20 * time.Millisecond
)

// state is how a fake upstream behaves.
type state int

const (
	up state = iota
	refusing
	breaking
	silent
	leaving
	faultStates
)

// faults is a few hosts and fake upstreams that fail as told.
type faults struct {
	clock    *timer.Service
	random   *rand.Rand
	hosts    [faultHosts]*choose.Choose
	budgets  [faultHosts]*retry.Retry
	list     []upstream.Upstream
	states   [faultUpstreams]state
	since    [faultUpstreams]time.Time
	requests int
	sent     int
	answered int
	toLeaver int
	toSilent int
	doubled  int
}

func newFaults(seed uint64) *faults {
	f := &faults{clock: timer.NewManual(start), random: rand.New(rand.NewPCG(seed, 4)), list: fleet(faultUpstreams, 3)}
	for i := range f.hosts {
		f.hosts[i] = choose.NewChoose(seed + uint64(i))
		f.hosts[i].SetUpstreams(f.list, start)
		f.budgets[i] = retry.NewRetry()
	}
	f.clock.Every(200*time.Millisecond, f.reports)
	return f
}

func (f *faults) reports(now time.Time) {
	for i, u := range f.list {
		if f.states[i] == silent || f.states[i] == refusing {
			continue
		}
		for _, h := range f.hosts {
			h.Report(report.Report{Upstream: u.Name, Incarnation: u.Incarnation}, now)
		}
	}
}

// set changes the behaviour of an upstream; news of leaving and coming back travel late and out of order.
func (f *faults) set(i int, s state) {
	was := f.states[i]
	f.states[i] = s
	f.since[i] = f.clock.Now()
	stale := append([]upstream.Upstream(nil), f.list...)
	if was == leaving {
		f.list[i].Incarnation++
	}
	f.list[i].Leaving = s == leaving
	fresh := append([]upstream.Upstream(nil), f.list...)
	f.clock.After(spreadDelay, func(now time.Time) {
		for _, h := range f.hosts {
			h.SetUpstreams(fresh, now)
			h.SetUpstreams(stale, now)
		}
	})
}

func (f *faults) request(now time.Time) {
	f.requests++
	h := f.random.IntN(faultHosts)
	f.budgets[h].Request(now)
	f.attempt(h, now, nil, route.Route{Repeatable: f.random.IntN(2) == 0})
}

func (f *faults) attempt(h int, now time.Time, tried []string, t route.Route) {
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
		f.toLeaver++
	}
	if f.states[i] == silent && age > callTimeout+2*time.Second {
		f.toSilent++
	}
	d, o, v := callTime, outcome.Succeeded, verdict.Ran
	switch f.states[i] {
	case refusing:
		d, o, v = time.Millisecond, outcome.Failed, verdict.NotRun
	case breaking:
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
			f.doubled++
		}
		f.attempt(h, now, append(tried, u.Name), t)
	})
}

// run sends 200 requests a second.
func (f *faults) run(is *is.I, d time.Duration) {
	for range d / (5 * time.Millisecond) {
		f.request(f.clock.Now())
		f.clock.Advance(5 * time.Millisecond)
	}
	for _, h := range f.hosts {
		is.NoErr(h.Check())
	}
}

// whole checks that every upstream is back on every host.
func (f *faults) whole(is *is.I) {
	for _, u := range f.list {
		for _, h := range f.hosts {
			is.True(!h.Eject.Ejected(u.Name))
		}
	}
}

// bounded checks the promises that hold at any moment.
func (f *faults) bounded(is *is.I) {
	is.Equal(f.toLeaver, 0)
	is.Equal(f.doubled, 0)
	r := f.budgets[0]
	seconds := f.clock.Now().Sub(start).Seconds()
	most := r.Ratio*float64(f.requests) + faultHosts*(r.Burst+r.Floor*seconds)
	is.True(float64(f.sent-f.requests) <= most)
}

func TestOneFault(t *testing.T) {
	for s, name := range map[state]string{refusing: "refusing", breaking: "breaking", silent: "silent", leaving: "leaving"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFaults(1)
			f.run(is, 5*time.Second)
			f.set(4, s)
			f.run(is, 20*time.Second)
			f.bounded(is)
			is.True(f.toSilent <= 10) // probes
			f.set(4, up)
			f.run(is, 60*time.Second)
			before, requests := f.answered, f.requests
			f.run(is, 10*time.Second)
			is.True(f.answered-before >= f.requests-requests-5) // but for calls on their way
			f.whole(is)
		})
	}
}

func TestOutageOfAllDrawsNoPileOn(t *testing.T) {
	for s, name := range map[state]string{refusing: "refusing", silent: "silent", breaking: "breaking"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFaults(2)
			f.run(is, 5*time.Second)
			for range 2 {
				for i := range faultUpstreams {
					f.set(i, s)
				}
				f.run(is, 3*time.Second)
				sent, requests := f.sent, f.requests
				f.run(is, 30*time.Second)
				f.bounded(is)
				is.True(float64(f.sent-sent) <= 1.02*float64(f.requests-requests)) // repeats stop
				for i := range faultUpstreams {
					f.set(i, up)
				}
				f.run(is, 30*time.Second)
				before, healed := f.answered, f.requests
				f.run(is, 10*time.Second)
				is.True(f.answered-before >= f.requests-healed-5)
			}
		})
	}
}

func TestRandomFaultsTogetherAndTwice(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		f := newFaults(seed)
		f.run(is, time.Second)
		for range 8 {
			for range 1 + f.random.IntN(faultUpstreams) {
				f.set(f.random.IntN(faultUpstreams), state(f.random.IntN(int(faultStates))))
			}
			f.run(is, time.Duration(f.random.IntN(4000))*time.Millisecond)
			f.bounded(is)
		}
		for i := range faultUpstreams {
			f.set(i, up)
		}
		f.run(is, 70*time.Second)
		before, healed := f.answered, f.requests
		f.run(is, 5*time.Second)
		f.bounded(is)
		f.whole(is)
		is.True(f.answered-before >= f.requests-healed-5)
	}
}
