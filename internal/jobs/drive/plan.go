package drive

import (
	"maps"
	"slices"
	"time"

	"siskinrun/internal/data/item"
	"siskinrun/internal/jobs/entry"
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
