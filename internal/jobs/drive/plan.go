package drive

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/data/item"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/verdict"
)

const (
	// pendingKeep is how long a leased item may wait for an upstream before it is given back.
	pendingKeep = 2 * time.Second
	// yieldPause is how long an item that made room waits before it runs again, so that it does not flap.
	yieldPause = 250 * time.Millisecond
	// maxOutcomes bounds the unsent outcomes of a group, above which no items are asked for.
	maxOutcomes = 1024
)

// task is one leased item on this host.
type task struct {
	group    uint32
	item     item.Item
	since    time.Time
	place    *place
	stopping bool
	// yielding says that the task stops for the window alone, so that this host may go on with it.
	yielding bool
	// notBefore is when the task may start again.
	notBefore time.Time
	// held is the outcome of a run that made room, for the group if no other run follows here.
	held *entry.Outcome
	// stop ends the run of a started task.
	stop func()
}

// place is an upstream that this host may drive until the claim ends.
type place struct {
	name    string
	targets []string
	window  int
	until   time.Time
	// busy counts the started items.
	busy int
	// unrecorded counts the items that may not be repeated and have ended without a record.
	unrecorded int
}

// side is what this host holds of one group.
type side struct {
	// session numbers the sessions; a late ask of a former one cannot lease to this one.
	session  uint64
	sequence uint64
	backlog  []string
	until    time.Time
	asked    []*entry.Want
	tasks    map[uint64]*task
	outcomes []*entry.Outcome
	// owed are the places whose slots stay taken until the outcome of a fence is recorded.
	owed map[uint64]*place
}

// plan decides what to ask for, to start and to stop; it knows no clock, socket or goroutine.
type plan struct {
	places  map[string]*place
	sides   map[uint32]*side
	pending []*task
	// draining says that nothing more is asked for or started.
	draining bool
}

func newPlan(groups uint32) *plan {
	p := &plan{places: map[string]*place{}, sides: map[uint32]*side{}}
	for g := uint32(1); g <= groups; g++ {
		p.sides[g] = &side{tasks: map[uint64]*task{}, owed: map[uint64]*place{}}
	}
	return p
}

// used returns the slots that are taken.
func (c *place) used() int {
	return c.busy + c.unrecorded
}

// setPlace adds an upstream or changes its window, targets and claim.
func (p *plan) setPlace(name string, targets []string, window int, until time.Time) {
	c := p.places[name]
	if c == nil {
		c = &place{name: name}
		p.places[name] = c
	}
	c.targets = targets
	c.window = window
	c.until = until
}

// wants returns what to ask of a group, in room that no other ask has been made for.
func (p *plan) wants(now time.Time, g uint32) []*entry.Want {
	s := p.sides[g]
	if p.draining || len(s.outcomes) >= maxOutcomes || !s.open(now) {
		return nil
	}
	r := p.rooms(now)
	s.asked = nil
	for _, t := range s.backlog {
		if n := r.take(t, maxAsked); n > 0 {
			s.asked = append(s.asked, &entry.Want{Target: t, Count: uint32(n)})
		}
	}
	return s.asked
}

// open starts a new session if the last one has ended, once nothing of it is left.
func (s *side) open(now time.Time) bool {
	if now.Before(s.until) {
		return true
	}
	if !s.idle() {
		return false
	}
	s.session++
	s.sequence = 0
	return true
}

// lapsed reports whether the session of an ask has ended, so that it may not be asked again.
func (s *side) lapsed(now time.Time) bool {
	return s.sequence > 1 && !now.Before(s.until)
}

// rooms are the free slots of the places, with the targets that each serves.
type rooms []room

type room struct {
	place *place
	free  int
}

// rooms returns the slots that are free and for which nothing is pending or asked.
func (p *plan) rooms(now time.Time) rooms {
	var r rooms
	for _, n := range slices.Sorted(maps.Keys(p.places)) {
		c := p.places[n]
		if now.Before(c.until) && c.window > 0 {
			r = append(r, room{place: c, free: c.window + ahead(c.window) - c.used()})
		}
	}
	for _, t := range p.pending {
		r.take(t.item.Target, 1)
	}
	for _, s := range p.sides {
		for _, w := range s.asked {
			r.take(w.Target, int(w.Count))
		}
	}
	return r
}

// ahead is how many items are leased beyond the window, so that no slot waits for the next lease.
func ahead(window int) int {
	return (window + 1) / 2
}

// take uses up to n slots that serve a target and returns how many there were.
func (r rooms) take(target string, n int) int {
	got := 0
	for i := range r {
		if !slices.Contains(r[i].place.targets, target) {
			continue
		}
		k := min(n-got, max(r[i].free, 0))
		r[i].free -= k
		got += k
	}
	return got
}

// taken adds leased items whose session lasts until the given time; those without a line go back.
func (p *plan) taken(now time.Time, g uint32, items []item.Item, until time.Time) {
	s := p.sides[g]
	s.asked = nil
	s.until = later(s.until, until)
	for _, i := range items {
		if s.tasks[i.Fence] != nil {
			continue
		}
		if len(i.Line) == 0 {
			s.outcomes = append(s.outcomes, yielded(i.Fence))
			continue
		}
		t := &task{group: g, item: i, since: now}
		s.tasks[i.Fence] = t
		p.pending = append(p.pending, t)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// assign gives pending items to free slots and returns those to start.
func (p *plan) assign(now time.Time) []*task {
	if p.draining {
		return nil
	}
	var a []*task
	keep := p.pending[:0]
	for _, t := range p.pending {
		c := p.free(now, t)
		if c == nil || now.Before(t.notBefore) {
			keep = append(keep, t)
			continue
		}
		c.busy++
		t.place = c
		a = append(a, t)
	}
	clear(p.pending[len(keep):])
	p.pending = keep
	return a
}

// free returns the place with the most room for a task.
func (p *plan) free(now time.Time, t *task) *place {
	if !now.Before(p.sides[t.group].until) {
		return nil
	}
	var best *place
	for _, c := range p.places {
		if c.used() >= c.window || !now.Before(c.until) || !slices.Contains(c.targets, t.item.Target) {
			continue
		}
		if best == nil || roomier(c, best) {
			best = c
		}
	}
	return best
}

func roomier(a, b *place) bool {
	x := a.window - a.used()
	y := b.window - b.used()
	return x > y || x == y && a.name < b.name
}

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
