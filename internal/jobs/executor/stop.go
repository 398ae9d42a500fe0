package executor

import (
	"cmp"
	"slices"
	"time"

	"siskinrun/internal/jobs/entry"
)

// tasksToStop returns the started tasks that must stop because their session or claim has expired or their
// upstream runs more tasks than it may keep. Only repeatable tasks stop for this or for a claim, newest first.
func (p *scheduler) tasksToStop(now time.Time) []*task {
	var a []*task
	excess := map[*claimedUpstream]int{}
	for _, c := range p.upstreams {
		excess[c] = c.started - c.keep
		if !now.Before(c.claimExpires) {
			excess[c] = c.started
		}
	}
	tasks := p.startedNewestFirst()
	for _, t := range tasks {
		lost := !now.Before(p.groups[t.group].sessionExpires)
		if lost && !t.stopping {
			a = append(a, t)
		}
		if lost || t.stopping {
			excess[t.upstream]--
		}
	}
	for _, t := range tasks {
		lost := !now.Before(p.groups[t.group].sessionExpires)
		if lost || t.stopping || !t.item.Repeatable || excess[t.upstream] <= 0 || p.chosenByWork(now, t) {
			continue
		}
		excess[t.upstream]--
		t.preempting = true
		a = append(a, t)
	}
	slices.Reverse(tasks)
	for _, t := range p.wholeExcess(now, excess, tasks) {
		t.preempting = true
		a = append(a, t)
	}
	p.countStops(now, a)
	return a
}

// startedNewestFirst returns the started tasks by descending group and fencing token.
func (p *scheduler) startedNewestFirst() []*task {
	var a []*task
	for _, s := range p.groups {
		for _, t := range s.tasks {
			if t.upstream != nil {
				a = append(a, t)
			}
		}
	}
	slices.SortFunc(a, func(x, y *task) int {
		return cmp.Or(cmp.Compare(y.group, x.group), cmp.Compare(y.item.Fence, x.item.Fence))
	})
	return a
}

// returnStale returns the leases of pending tasks that have waited too long, were stopped or lost their session. A
// draining host returns those of all pending tasks.
func (p *scheduler) returnStale(now time.Time) {
	keep := p.pending[:0]
	for _, t := range p.pending {
		if !p.draining && now.Sub(t.pendingSince) < p.patience(now, t) && now.Before(p.groups[t.group].sessionExpires) && !t.stopping {
			keep = append(keep, t)
			continue
		}
		p.endTask(t, unsentOutcome(t.item.Fence))
	}
	clear(p.pending[len(keep):])
	p.pending = keep
}

// patience returns how long a pending task waits for a slot. One that has been begun waits longer, since others would begin
// before it goes on if its lease were returned.
func (p *scheduler) patience(now time.Time, t *task) time.Duration {
	if t.route == noRoute {
		return routelessTimeout + confirmationTimeout
	}
	if t.item.NextEvent == 0 && (t.item.Preemptions == 0 || !p.runsWhole(now, t)) {
		return pendingTimeout
	}
	for _, c := range p.upstreams {
		if c.serves(now, t) {
			return begunTimeout
		}
	}
	return pendingTimeout
}

// applyRenewal applies the answer to a heartbeat and returns the started tasks to stop.
func (p *scheduler) applyRenewal(now time.Time, g uint32, session uint64, a *entry.Renewed, until time.Time) []*task {
	s := p.groups[g]
	if s.session != session {
		return nil
	}
	if a.GetLapsed() {
		s.sessionExpires = time.Time{}
		return p.tasksToStop(now)
	}
	s.sessionExpires = later(s.sessionExpires, until)
	return p.stopJobs(now, g, a.GetCancelled())
}

// drain stops requests and starts, and returns the started tasks that may be repeated.
func (p *scheduler) drain() []*task {
	p.draining = true
	var a []*task
	for _, t := range p.startedNewestFirst() {
		if t.item.Repeatable && !t.stopping {
			a = append(a, t)
		}
	}
	return a
}

// stopJobs returns the started tasks of the given jobs, for the caller to stop, and ends the pending ones unsent,
// so that their leases are returned.
func (p *scheduler) stopJobs(now time.Time, g uint32, jobs []string) []*task {
	var a []*task
	for _, t := range p.startedNewestFirst() {
		if t.group == g && !t.stopping && slices.Contains(jobs, t.item.Job) {
			a = append(a, t)
		}
	}
	for _, t := range p.pending {
		if t.group == g && slices.Contains(jobs, t.item.Job) {
			t.stopping = true
		}
	}
	p.returnStale(now)
	return a
}
