package executor

import (
	"slices"
	"time"

	"siskinrun/internal/data/item"
	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/verdict"
)

const (
	// routeMemory is how long a host relies on the routes of the items that it leased last of a target.
	routeMemory = time.Second
	// minProbeInterval and maxProbeInterval bound the time between two requests for one item of a target of which this host
	// knows no item that its upstreams serve.
	minProbeInterval = 200 * time.Millisecond
	maxProbeInterval = 3 * time.Second
	// routelessTimeout is how long an item waits for a route before it is given up, so that a route may be replaced in two
	// changes of the configuration.
	routelessTimeout = 5 * time.Second
	// confirmationTimeout is how much longer it waits for a configuration that was confirmed after its lease.
	confirmationTimeout = 2 * time.Second
	// maxRouteless is the number of items without a route that a host leases at once.
	maxRouteless = 64
)

// noRoute is the route of an item whose path no route takes.
const noRoute = ""

// routes finds the routes of items in the configuration in force.
type routes interface {
	// RouteOf returns the name of the route of an item, empty if its path has none.
	RouteOf(i item.Item) string
	// Revision returns the version of the configuration, zero if there is none, and when it was last confirmed.
	Revision() (version uint64, confirmed time.Time)
}

// target is what a host knows of the items that the ledgers queue under one name. The name is that of their route when their
// job was accepted, so it need not be a route any more, nor theirs.
type target struct {
	// seen maps a route to the time at which an item of it was last leased.
	seen map[string]time.Time
	// routelessSince is when the first item without a route was leased after the last one with a route, zero if there is none.
	routelessSince time.Time
	nextProbe      time.Time
	interval       time.Duration
	// probed says that the last request was for an item that no upstream of this host was known to serve.
	probed bool
}

// add records that an item of the target has a route now.
func (t *target) add(now time.Time, route string) {
	t.seen[route] = now
	switch {
	case route != noRoute:
		t.routelessSince = time.Time{}
	case t.routelessSince.IsZero():
		t.routelessSince = now
	}
}

// target returns what this host knows of a target.
func (p *scheduler) target(name string) *target {
	t := p.targets[name]
	if t == nil {
		t = &target{seen: map[string]time.Time{}}
		p.targets[name] = t
	}
	return t
}

// routesOf returns the routes to which the items of a target go: those of the items leased last, or the one of its name.
func (p *scheduler) routesOf(now time.Time, name string) []string {
	t := p.targets[name]
	if t == nil {
		return []string{name}
	}
	var l []string
	for r, at := range t.seen {
		if now.Sub(at) < routeMemory {
			l = append(l, r)
		}
	}
	if len(l) == 0 {
		return []string{name}
	}
	slices.Sort(l)
	return l
}

// wanted returns how many items of a target to request, and reserves their slots.
func (p *scheduler) wanted(now time.Time, r freeSlots, name string) int {
	l := p.routesOf(now, name)
	if n := r.reserve(l, maxItemsPerRequest); n > 0 {
		p.target(name).probed = false
		return n
	}
	if p.anyServes(now, l) {
		return 0
	}
	if slices.Equal(l, []string{noRoute}) {
		return maxRouteless - p.routeless()
	}
	return p.probe(now, r, name)
}

// anyServes reports whether a claimed upstream serves one of the routes, with a free slot or not.
func (p *scheduler) anyServes(now time.Time, l []string) bool {
	for _, c := range p.upstreams {
		if now.Before(c.claimExpires) && c.servesAny(l) {
			return true
		}
	}
	return false
}

// routeless returns the number of pending items without a route.
func (p *scheduler) routeless() int {
	n := 0
	for _, t := range p.pending {
		if t.route == noRoute {
			n++
		}
	}
	return n
}

// probe returns 1 if it is time to lease an item of a target to learn its route, which this host can do with a free slot and
// under a configuration that was confirmed lately.
func (p *scheduler) probe(now time.Time, r freeSlots, name string) int {
	t := p.target(name)
	if !r.any() || p.revision == 0 || now.Sub(p.confirmed) > confirmationTimeout || now.Before(t.nextProbe) {
		return 0
	}
	t.interval = min(max(2*t.interval, minProbeInterval), maxProbeInterval)
	t.nextProbe = now.Add(t.interval)
	t.probed = true
	return 1
}

// learn finds the route of a leased item, and reports whether the item stays: one that was leased to learn its route, or goes
// elsewhere than its target says, is left to the hosts with an upstream for it.
func (p *scheduler) learn(now time.Time, t *task) bool {
	o := p.target(t.item.Target)
	t.route = p.routeOf(t.item)
	o.add(now, t.route)
	if t.route == noRoute || p.anyServes(now, []string{t.route}) {
		return true
	}
	return t.route == t.item.Target && !o.probed
}

// applyRevision finds the routes of the pending items anew under a changed configuration, and returns the leases of those that
// no upstream of this host serves.
func (p *scheduler) applyRevision(now time.Time, version uint64, confirmed time.Time) {
	p.confirmed = confirmed
	if version == p.revision {
		return
	}
	p.revision = version
	clear(p.targets)
	keep := p.pending[:0]
	for _, t := range p.pending {
		if p.learn(now, t) {
			keep = append(keep, t)
			continue
		}
		p.endTask(t, unsentOutcome(t.item.Fence))
	}
	clear(p.pending[len(keep):])
	p.pending = keep
}

// isRouteless reports whether a pending item, or the items of its target, have waited for a route until the timeout. An item's
// job was accepted under a route, so only a configuration that was confirmed after the item's lease can tell that it is gone.
func (p *scheduler) isRouteless(now time.Time, t *task) bool {
	if t.route != noRoute || !p.confirmed.After(t.pendingSince) {
		return false
	}
	s := p.target(t.item.Target).routelessSince
	return now.Sub(t.pendingSince) >= routelessTimeout || !s.IsZero() && now.Sub(s) >= routelessTimeout
}

// endRouteless gives up the items that have waited for a route until the timeout.
func (p *scheduler) endRouteless(now time.Time) {
	keep := p.pending[:0]
	for _, t := range p.pending {
		if !p.isRouteless(now, t) {
			keep = append(keep, t)
			continue
		}
		p.target(t.item.Target).add(now, noRoute)
		p.endTask(t, routelessOutcome(t.item.Fence))
	}
	clear(p.pending[len(keep):])
	p.pending = keep
}

// routelessOutcome returns the outcome of an item that is given up since no route takes its path.
func routelessOutcome(fence uint64) *entry.Outcome {
	return &entry.Outcome{
		Fence:  fence,
		Kind:   entry.Outcome_FAIL,
		Result: &entry.Result{Code: "no-route", Message: "no route takes the item's path any more", Verdict: uint32(verdict.NotRun)},
	}
}
