package executor

import (
	"slices"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/jobs/entry"
	"siskinrun/internal/jobs/preemption"
)

// expectedWeight is the weight of one whole result in the moving average of the events of a route's results.
const expectedWeight = 0.05

// placeWait is how long a call must have had no other place before a run stops for it. The counts of other upstreams are up to
// that old, and slots of a full upstream often become free by themselves in that time.
const placeWait = 100 * time.Millisecond

// places tells where else in a service there is room for an online call.
type places interface {
	// RunsWhole reports whether runs on an upstream are preempted only for calls that have no other place.
	RunsWhole(upstream string) bool
	// FreeElsewhere returns the number of free slots of the other upstreams of the same service.
	FreeElsewhere(upstream string) int
}

// setPlaces reads whether the upstream runs items whole and, if it has more than it may keep, where else there is room.
func (c *claimedUpstream) setPlaces(now time.Time, p places) {
	c.whole, c.elsewhere = p != nil && p.RunsWhole(c.name), 0
	if c.whole && c.started > c.keep {
		c.elsewhere = p.FreeElsewhere(c.name)
	}
	switch needed := c.whole && c.started-c.keep > c.elsewhere; {
	case !needed:
		c.neededSince = time.Time{}
	case c.neededSince.IsZero():
		c.neededSince = now
	}
}

// needed reports whether calls have had no other place for some time.
func (c *claimedUpstream) needed(now time.Time) bool {
	return !c.neededSince.IsZero() && now.Sub(c.neededSince) >= placeWait
}

// wholeExcess returns the tasks to stop on the upstreams that run items whole, for the calls that have no other place. Excess
// holds how many started tasks exceed what each upstream may keep, and oldest the started tasks, the oldest first.
func (p *scheduler) wholeExcess(now time.Time, excess map[*claimedUpstream]int, oldest []*task) []*task {
	tasks := map[*claimedUpstream][]*task{}
	for _, t := range oldest {
		if c := t.upstream; p.chosenByWork(now, t) && excess[c] > 0 && c.needed(now) {
			tasks[c] = append(tasks[c], t)
		}
	}
	var a []*task
	for c, l := range tasks {
		runs := make([]preemption.Run, 0, len(l))
		for _, t := range l {
			runs = append(runs, p.runOf(t))
		}
		for _, i := range preemption.Choose(runs, excess[c]-c.elsewhere) {
			a = append(a, l[i])
		}
	}
	return a
}

// chosenByWork reports whether a task that its upstream may not keep is chosen by what it has done. A lost claim or session
// stops any task.
func (p *scheduler) chosenByWork(now time.Time, t *task) bool {
	return t.upstream.whole && now.Before(t.upstream.claimExpires) && !t.stopping && t.item.Repeatable &&
		now.Before(p.groups[t.group].sessionExpires)
}

// runOf returns what a task has done. One that came with text was broken off on another host.
func (p *scheduler) runOf(t *task) preemption.Run {
	return preemption.Run{
		Events:   t.item.Received.Load(),
		Expected: uint64(p.expected[t.route]),
		Resumed:  t.item.Preemptions > 0 || t.item.NextEvent > 0,
	}
}

// observeResult learns from a whole result how many events one of its route has, and counts results of several runs.
func (p *scheduler) observeResult(t *task, o *entry.Outcome) {
	n := t.item.Received.Load()
	if o.Kind != entry.Outcome_COMPLETE || n == 0 {
		return
	}
	p.count("results")
	if t.item.Preemptions > 0 || t.item.NextEvent > 0 {
		p.count("results-of-several-runs")
	}
	if e, ok := p.expected[t.route]; ok {
		p.expected[t.route] = e + (float64(n)-e)*expectedWeight
		return
	}
	p.expected[t.route] = float64(n)
}

// countStops counts tasks that stop, by the reason.
func (p *scheduler) countStops(now time.Time, tasks []*task) {
	for _, t := range tasks {
		switch {
		case !now.Before(p.groups[t.group].sessionExpires):
			p.count("stopped.session")
		case !now.Before(t.upstream.claimExpires):
			p.count("stopped.claim")
		case t.upstream.whole:
			p.count("stopped.no-other-place")
		default:
			p.count("stopped.window")
		}
	}
}

// backlogged reports whether a group has items ready that an upstream of this host serves.
func (p *scheduler) backlogged(now time.Time) bool {
	for _, s := range p.groups {
		for _, t := range s.backlog {
			for _, c := range p.upstreams {
				if c.servesAny(p.routesOf(now, t)) {
					return true
				}
			}
		}
	}
	return false
}

func (p *scheduler) count(name string) {
	if p.metrics != nil {
		metrics.GetOrRegisterCounter(name, p.metrics).Inc(1)
	}
}

// continues reports whether a task goes on with its text on an upstream.
func (c *claimedUpstream) continues(t *task) bool {
	return t.item.NextEvent > 0 && c.software.Known() && c.software == t.item.Start
}

// prefersSoftware reports whether a task that has text is to start on one of two upstreams and not on the other, since there
// alone it goes on with its text.
func (t *task) prefersSoftware(a, b *claimedUpstream) (preferred, decided bool) {
	if !a.whole || !b.whole || a.continues(t) == b.continues(t) {
		return false, false
	}
	return a.continues(t), true
}

// runsWhole reports whether an upstream that serves a task runs items whole. A task that was preempted before its first event
// stays there like one with text, since the ledger keeps no other mark of it.
func (p *scheduler) runsWhole(now time.Time, t *task) bool {
	for _, c := range p.upstreams {
		if c.whole && c.serves(now, t) {
			return true
		}
	}
	return false
}

// pause puts a preempted task before the pending ones. On an upstream that runs items whole it goes behind those that were
// preempted earlier.
func (p *scheduler) pause(t *task, whole bool) {
	i := 0
	for whole && i < len(p.pending) && p.pending[i].item.Preemptions > 0 {
		i++
	}
	p.pending = slices.Insert(p.pending, i, t)
}
