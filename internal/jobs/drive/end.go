package drive

import (
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/verdict"
)

// finish ends a task, or keeps it for another run on this host if it made room and its lease goes on: the
// ledger and the other hosts need not hear of a pause that is shorter than their round trip.
func (p *plan) finish(now time.Time, t *task, o *entry.Outcome) {
	s := p.sides[t.group]
	again := t.yielding && o.Kind == entry.Outcome_YIELD && !p.draining && now.Before(s.until)
	if !again || s.tasks[t.item.Fence] != t {
		p.end(t, o)
		return
	}
	t.place.busy--
	t.place = nil
	t.stop = nil
	t.stopping, t.yielding = false, false
	t.since = now
	t.item.Runs++
	t.notBefore = now.Add(yieldPause)
	if g := o.GetProgress(); g.GetNext() > t.item.Next {
		t.item.Next, t.item.Text = g.GetNext(), g.GetText()
	}
	if o.Progress != nil || t.held == nil {
		t.held = o
	}
	p.pending = slices.Insert(p.pending, 0, t)
}

// end keeps the outcome of a task for the group and frees its slot. One that may not be repeated keeps the
// slot until the outcome is recorded, so that a lost host leaves no more such items in doubt than its windows.
func (p *plan) end(t *task, o *entry.Outcome) {
	s := p.sides[t.group]
	if s.tasks[t.item.Fence] != t {
		return
	}
	o = t.whole(o)
	delete(s.tasks, t.item.Fence)
	if c := t.place; c != nil {
		c.busy--
		t.place = nil
		if !t.item.Repeatable {
			c.unrecorded++
			s.owed[o.Fence] = c
		}
	}
	s.outcomes = append(s.outcomes, o)
}

// whole returns an outcome that accounts for the runs that made room before.
func (t *task) whole(o *entry.Outcome) *entry.Outcome {
	switch {
	case t.held == nil:
		return o
	case o.Kind == entry.Outcome_YIELD && o.Progress == nil:
		return t.held
	case o.GetResult().GetVerdict() == uint32(verdict.NotRun):
		o.Result.Verdict = t.held.GetResult().GetVerdict()
	}
	return o
}

// recorded forgets the first n outcomes of a group and frees the slots that waited for them.
func (p *plan) recorded(g uint32, n int) {
	s := p.sides[g]
	for _, o := range s.outcomes[:n] {
		if c := s.owed[o.Fence]; c != nil {
			c.unrecorded--
			delete(s.owed, o.Fence)
		}
	}
	s.outcomes = slices.Clone(s.outcomes[n:])
}

// idle reports whether this host holds nothing of a group.
func (s *side) idle() bool {
	return len(s.tasks) == 0 && len(s.outcomes) == 0
}

// check verifies that the slots in use are those of the started tasks.
func (p *plan) check() error {
	busy := map[*place]int{}
	owed := map[*place]int{}
	for g, s := range p.sides {
		for _, c := range s.owed {
			owed[c]++
		}
		for f, t := range s.tasks {
			if t.group != g || t.item.Fence != f {
				return errors.Newf("task %d of group %d is kept as %d of %d", t.item.Fence, t.group, f, g)
			}
			if t.place != nil {
				busy[t.place]++
			}
		}
	}
	for n, c := range p.places {
		if c.busy != busy[c] {
			return errors.Newf("upstream %s has %d tasks and counts %d", n, busy[c], c.busy)
		}
		if c.unrecorded != owed[c] {
			return errors.Newf("upstream %s waits for %d records and counts %d", n, owed[c], c.unrecorded)
		}
	}
	return nil
}
