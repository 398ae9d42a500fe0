package drive

import (
	"cmp"
	"slices"
	"time"

	"siskinrun/internal/jobs/entry"
)

// overdue returns the started tasks that must stop: beyond a window, a claim or a session.
func (p *plan) overdue(now time.Time) []*task {
	var a []*task
	excess := map[*place]int{}
	for _, c := range p.places {
		excess[c] = c.busy - c.window
		if !now.Before(c.until) {
			excess[c] = c.busy
		}
	}
	tasks := p.newestFirst()
	for _, t := range tasks {
		lost := !now.Before(p.sides[t.group].until)
		if lost && !t.stopping {
			a = append(a, t)
		}
		if lost || t.stopping {
			excess[t.place]--
		}
	}
	for _, t := range tasks {
		lost := !now.Before(p.sides[t.group].until)
		if lost || t.stopping || !t.item.Repeatable || excess[t.place] <= 0 {
			continue
		}
		excess[t.place]--
		t.yielding = true
		a = append(a, t)
	}
	return a
}

// newestFirst returns the started tasks.
func (p *plan) newestFirst() []*task {
	var a []*task
	for _, s := range p.sides {
		for _, t := range s.tasks {
			if t.place != nil {
				a = append(a, t)
			}
		}
	}
	slices.SortFunc(a, func(x, y *task) int {
		return cmp.Or(cmp.Compare(y.group, x.group), cmp.Compare(y.item.Fence, x.item.Fence))
	})
	return a
}

// stale gives back the pending tasks that have waited too long or lost their session.
func (p *plan) stale(now time.Time) {
	keep := p.pending[:0]
	for _, t := range p.pending {
		if !p.draining && now.Sub(t.since) < pendingKeep && now.Before(p.sides[t.group].until) && !t.stopping {
			keep = append(keep, t)
			continue
		}
		p.end(t, yielded(t.item.Fence))
	}
	clear(p.pending[len(keep):])
	p.pending = keep
}

// renewed takes the answer to a heartbeat and returns the started tasks to stop.
func (p *plan) renewed(now time.Time, g uint32, session uint64, a *entry.Renewed, until time.Time) []*task {
	s := p.sides[g]
	if s.session != session {
		return nil
	}
	if a.GetLapsed() {
		s.until = time.Time{}
		return p.overdue(now)
	}
	s.until = later(s.until, until)
	return p.revoke(now, g, a.GetCancelled())
}

// drain ends asking and starting and returns the started tasks that may be repeated.
func (p *plan) drain() []*task {
	p.draining = true
	var a []*task
	for _, t := range p.newestFirst() {
		if t.item.Repeatable && !t.stopping {
			a = append(a, t)
		}
	}
	return a
}

// revoke returns the started tasks of ended jobs, and gives back the pending ones.
func (p *plan) revoke(now time.Time, g uint32, jobs []string) []*task {
	var a []*task
	for _, t := range p.newestFirst() {
		if t.group == g && !t.stopping && slices.Contains(jobs, t.item.Job) {
			a = append(a, t)
		}
	}
	for _, t := range p.pending {
		if t.group == g && slices.Contains(jobs, t.item.Job) {
			t.stopping = true
		}
	}
	p.stale(now)
	return a
}
