package executor

import (
	"slices"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/data/item"
	"siskinrun/internal/data/streamstart"
	"siskinrun/internal/jobs/entry"
)

const (
	// pendingTimeout is how long a leased item may wait for a slot before its lease is returned.
	pendingTimeout = 2 * time.Second
	// begunTimeout replaces pendingTimeout for an item that has been begun, on a host with an upstream for it. It is longer
	// than a burst of online requests, and than the span in which one uses up the permits of an upstream.
	begunTimeout = 6 * time.Second
	// preemptionBackoff is how long a preempted item waits before it runs again, so that it does not stop and
	// start in quick succession.
	preemptionBackoff = 250 * time.Millisecond
	// requestDivisor is the part of the window of an upstream for which one request leases items.
	requestDivisor = 8
	// maxUnsentOutcomes is the number of unsent outcomes of a group at which this host stops requesting items of it.
	maxUnsentOutcomes = 1024
)

// task is an item that is leased to this host.
type task struct {
	group        uint32
	item         item.Item
	pendingSince time.Time
	// route is the name of the item's route in the configuration in force, empty if its path has none.
	route    string
	upstream *claimedUpstream
	stopping bool
	// preempting is set if the task stops only because its upstream has more than it may keep, so that this host may run it again.
	preempting bool
	// notBefore is the earliest time at which the task may start again.
	notBefore time.Time
	// preemptedOutcome is the outcome of a preempted run, which is reported if no other run follows on this host.
	preemptedOutcome *entry.Outcome
	// stop cancels the run of a started task.
	stop func()
}

// claimedUpstream is an upstream on which this host may run items until its claim expires.
type claimedUpstream struct {
	name    string
	targets []string
	// window is the number of items up to which new ones start.
	window int
	// keep is the number of started items that may go on.
	keep         int
	claimExpires time.Time
	// whole says that started tasks stop only for calls that have no other place, of which there is elsewhere.
	whole     bool
	elsewhere int
	// neededSince is since when the excess of started tasks is more than elsewhere, zero if it is not.
	neededSince time.Time
	// software is what the upstream runs.
	software streamstart.Start
	// started counts the items that were given a slot and have not ended.
	started int
	// unrecorded counts the ended items that may not be repeated and whose outcome is not recorded yet.
	unrecorded int
}

// groupState is this host's session with a group and the items and outcomes that it holds of it.
type groupState struct {
	// session is the number of the current session. A delayed request of a former session cannot lease items
	// to this one.
	session        uint64
	sequence       uint64
	backlog        []string
	sessionExpires time.Time
	requested      []*entry.Want
	tasks          map[uint64]*task
	outcomes       []*entry.Outcome
	// awaitingRecord maps a fencing token to the upstream whose slot stays in use until the outcome is recorded.
	awaitingRecord map[uint64]*claimedUpstream
}

// scheduler decides which items to request, start and stop. It uses no clock, socket or goroutine.
type scheduler struct {
	upstreams map[string]*claimedUpstream
	groups    map[uint32]*groupState
	pending   []*task
	// draining is set once no more items are requested or started.
	draining bool
	// routeOf returns the name of an item's route, empty if its path has none.
	routeOf func(i item.Item) string
	// targets holds what is known of the items of each target under the configuration of revision.
	targets  map[string]*target
	revision uint64
	// confirmed is when a quorum last confirmed the configuration.
	confirmed time.Time
	// expected is the average number of events of the whole results of each route.
	expected map[string]float64
	// metrics, if set, counts results and stopped runs.
	metrics metrics.Registry
}

func newScheduler(groups uint32) *scheduler {
	p := &scheduler{
		upstreams: map[string]*claimedUpstream{},
		groups:    map[uint32]*groupState{},
		targets:   map[string]*target{},
		expected:  map[string]float64{},
		routeOf:   func(i item.Item) string { return i.Target },
	}
	for g := uint32(1); g <= groups; g++ {
		p.groups[g] = &groupState{tasks: map[uint64]*task{}, awaitingRecord: map[uint64]*claimedUpstream{}}
	}
	return p
}

// usedSlots returns the number of slots in use.
func (c *claimedUpstream) usedSlots() int {
	return c.started + c.unrecorded
}

// serves reports whether a task may run on the upstream once it has a free slot.
func (c *claimedUpstream) serves(now time.Time, t *task) bool {
	return now.Before(c.claimExpires) && slices.Contains(c.targets, t.route)
}

// servesAny reports whether the upstream serves one of the routes.
func (c *claimedUpstream) servesAny(routes []string) bool {
	return slices.ContainsFunc(routes, func(r string) bool { return slices.Contains(c.targets, r) })
}

// setLimits reads the limits of the upstream.
func (c *claimedUpstream) setLimits(w windows) {
	c.window = w.Window(c.name)
	c.keep = w.Keep(c.name)
}

// setUpstream adds an upstream or updates its targets, window and claim.
func (p *scheduler) setUpstream(name string, targets []string, window int, until time.Time) {
	c := p.upstreams[name]
	if c == nil {
		c = &claimedUpstream{name: name}
		p.upstreams[name] = c
	}
	c.targets = targets
	c.window = window
	c.keep = window
	c.claimExpires = until
}

// wants returns the items to request from a group, for slots that are not reserved by another request.
func (p *scheduler) wants(now time.Time, g uint32) []*entry.Want {
	s := p.groups[g]
	if p.draining || len(s.outcomes) >= maxUnsentOutcomes || !s.ensureSession(now) {
		return nil
	}
	r := p.unreservedSlots(now)
	s.requested = nil
	for _, t := range s.backlog {
		if n := p.wanted(now, r, t); n > 0 {
			s.requested = append(s.requested, &entry.Want{Target: t, Count: uint32(n)})
		}
	}
	return s.requested
}

// ensureSession reports whether items may be requested. If the session has expired, it starts a new one once no
// task or outcome of the former one is left.
func (s *groupState) ensureSession(now time.Time) bool {
	if now.Before(s.sessionExpires) {
		return true
	}
	if !s.idle() {
		return false
	}
	s.session++
	s.sequence = 0
	return true
}

// lapsed reports whether the session of a request has expired, so that the request may not be repeated. The first
// request of a session opens it and may always be repeated.
func (s *groupState) lapsed(now time.Time) bool {
	return s.sequence > 1 && !now.Before(s.sessionExpires)
}

// addLeased adds leased items and extends the session to the given time. Items without a line are returned.
func (p *scheduler) addLeased(now time.Time, g uint32, items []item.Item, until time.Time) {
	s := p.groups[g]
	s.requested = nil
	s.sessionExpires = later(s.sessionExpires, until)
	for _, i := range items {
		if s.tasks[i.Fence] != nil {
			continue
		}
		if len(i.Line) == 0 {
			s.outcomes = append(s.outcomes, unsentOutcome(i.Fence))
			continue
		}
		i.Received = &atomic.Uint64{}
		i.Received.Store(i.NextEvent)
		t := &task{group: g, item: i, pendingSince: now}
		s.tasks[i.Fence] = t
		if !p.learn(now, t) {
			p.endTask(t, unsentOutcome(i.Fence))
			continue
		}
		p.pending = append(p.pending, t)
	}
}

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// assign gives free slots to pending tasks and returns the tasks to start.
func (p *scheduler) assign(now time.Time) []*task {
	if p.draining {
		return nil
	}
	var a []*task
	keep := p.pending[:0]
	for _, t := range p.pending {
		c := p.freestUpstream(now, t)
		if c == nil || now.Before(t.notBefore) {
			keep = append(keep, t)
			continue
		}
		c.started++
		t.upstream = c
		a = append(a, t)
	}
	clear(p.pending[len(keep):])
	p.pending = keep
	return a
}

// freestUpstream returns the upstream with the most free slots for a task, nil if there is none.
func (p *scheduler) freestUpstream(now time.Time, t *task) *claimedUpstream {
	if !now.Before(p.groups[t.group].sessionExpires) {
		return nil
	}
	var best *claimedUpstream
	for _, c := range p.upstreams {
		if c.usedSlots() >= c.window || !c.serves(now, t) {
			continue
		}
		if best == nil || isBetter(t, c, best) {
			best = c
		}
	}
	return best
}

// isBetter reports whether a task rather starts on a than on b.
func isBetter(t *task, a, b *claimedUpstream) bool {
	if preferred, decided := t.prefersSoftware(a, b); decided {
		return preferred
	}
	return hasMoreFreeSlots(a, b)
}

func hasMoreFreeSlots(a, b *claimedUpstream) bool {
	x := a.window - a.usedSlots()
	y := b.window - b.usedSlots()
	return x > y || x == y && a.name < b.name
}
