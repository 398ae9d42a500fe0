package server

import (
	"context"
	"time"

	"siskinrun/internal/data/upstream"
	"siskinrun/internal/jobs/assignment"
	"siskinrun/internal/routing/picker"
)

// loadUpdater applies the request counts and load reports of the fleet to the picker and the batch windows.
type loadUpdater struct {
	components *components
	// upstreams is the list of upstreams that was applied last.
	upstreams []upstream.Upstream
	// changed are the upstreams whose counts have changed since the last pass.
	changed []string
	// measured holds when the latest applied report of each upstream was measured.
	measured map[string]time.Time
	// peerCounts are the latest applied counts of other hosts, by upstream.
	peerCounts map[string]peerCount
	// loadChanges is the state of the loads and counts that was applied last.
	loadChanges uint64
	// evacuationChanges is the state of the evacuations that was applied last.
	evacuationChanges uint64
	// callHosts is the number of hosts that take calls, among which the slots of a service are shared.
	callHosts   int
	departures  departures
	preferences preferences
}

// peerCount is the number of requests of other hosts at an upstream.
type peerCount struct {
	online int
	batch  int
}

// run applies changes until ctx ends.
func (l *loadUpdater) run(ctx context.Context) error {
	p := l.components
	for {
		if err := p.server.timer.Sleep(ctx, picker.CountsInterval(p.permits.AnyLimit())); err != nil {
			return err
		}
		l.departures.show(p)
		l.preferences.show(p)
		if !l.stale() {
			continue
		}
		l.setUpstreams(p.gossip.Upstreams())
		l.changed = l.changed[:0]
		for i := range l.upstreams {
			l.applyReport(l.upstreams[i].Name)
			l.compareCount(l.upstreams[i].Name)
		}
		p.inflight.Refresh(l.changed)
		p.places.observe(l.upstreams, p.evacuation.Open, func(n string) int { return p.gossip.Peers(n) + p.picker.OwnRequests(n) }, p.server.timer.Now())
		p.capacity.Update(p.evacuation.Filter(l.upstreams), l.usableSlots, p.gossip.Peers, l.callHosts)
	}
}

// usableSlots returns the slots of an upstream that the rate limit that it names lets calls use.
func (l *loadUpdater) usableSlots(u upstream.Upstream) float64 {
	p := l.components
	n := p.gossip.Peers(u.Name) + p.picker.OwnRequests(u.Name)
	return p.permits.Slots(u.Name, u.Slots, n, l.callHosts)
}

// stale reports whether upstreams, loads or counts have changed since the last pass.
func (l *loadUpdater) stale() bool {
	g := l.components.gossip
	n, e := g.LoadChanges(), l.components.evacuationChanges.Load()
	if n == l.loadChanges && e == l.evacuationChanges && sameSnapshot(l.upstreams, g.Upstreams()) {
		return false
	}
	l.loadChanges, l.evacuationChanges = n, e
	return true
}

// setUpstreams applies a list of upstreams unless it is the snapshot that was applied last.
func (l *loadUpdater) setUpstreams(view []upstream.Upstream) {
	if sameSnapshot(l.upstreams, view) {
		return
	}
	l.upstreams = view
	l.measured = make(map[string]time.Time, len(view))
	l.peerCounts = make(map[string]peerCount, len(view))
	l.callHosts = l.components.callHostCount()
	l.components.assignment.Store(assignment.NewAssignment(l.components.batchHosts(), view))
	now := l.components.server.timer.Now()
	for i := range view {
		l.components.picker.MarkAlive(view[i].Name, now.Add(-view[i].Age.Duration()))
	}
}

// applyReport applies the newest load report of an upstream if it has not been applied yet.
func (l *loadUpdater) applyReport(name string) {
	if v, t := l.components.gossip.Pace(name); v > 0 {
		l.components.picker.SetPace(name, v, t)
		l.components.places.note(name, v, t)
	}
	r, at, ok := l.components.gossip.Load(name)
	if !ok || at.Equal(l.measured[name]) {
		return
	}
	l.measured[name] = at
	l.components.picker.Report(r, at)
	l.components.batchLimiter.Report(r, at)
}

// compareCount adds an upstream to changed if the count of other hosts is not the one applied last.
func (l *loadUpdater) compareCount(name string) {
	n := peerCount{online: l.components.gossip.Peers(name), batch: l.components.gossip.PeersBatch(name)}
	if old, ok := l.peerCounts[name]; ok && old == n {
		return
	}
	l.peerCounts[name] = n
	l.changed = append(l.changed, name)
}

// sameSnapshot reports whether two lists are the same snapshot, by the address of their first element.
func sameSnapshot(a, b []upstream.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
