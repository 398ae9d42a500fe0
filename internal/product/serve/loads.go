package serve

import (
	"context"
	"time"

	"siskinrun/internal/data/upstream"
	"siskinrun/internal/jobs/assignment"
)

// loadsInterval is how often request counts and load reports of the fleet are applied.
const loadsInterval = 50 * time.Millisecond

// loads applies the request counts and load reports of the fleet to the picker and the batch windows.
type loads struct {
	parts *parts
	// view is the list of upstreams that was applied last.
	view []upstream.Upstream
	// changed are the upstreams whose counts have changed since the last pass.
	changed []string
	// heard holds when the latest applied report of each upstream in view was measured.
	heard map[string]time.Time
	// peers are the latest applied counts of other hosts, by upstream.
	peers map[string]int
	// takers is the number of hosts that take calls, among which the slots of a service are shared.
	takers int
}

// run applies changes until ctx ends.
func (l *loads) run(ctx context.Context) error {
	p := l.parts
	for {
		if err := p.serveHost.timer.Sleep(ctx, loadsInterval); err != nil {
			return err
		}
		l.look(p.roster.Upstreams())
		l.changed = l.changed[:0]
		for i := range l.view {
			l.report(l.view[i].Name)
			l.count(l.view[i].Name)
		}
		p.occupancy.Refresh(l.changed)
		p.capacity.Update(l.view, p.roster.Peers, l.takers)
	}
}

// look applies a list of upstreams unless it is the snapshot that was applied last.
func (l *loads) look(view []upstream.Upstream) {
	if same(l.view, view) {
		return
	}
	l.view = view
	l.heard = make(map[string]time.Time, len(view))
	l.peers = make(map[string]int, len(view))
	l.takers = l.parts.takers()
	l.parts.driving.Store(&assignment.Assignment{Hosts: l.parts.drivers()})
	now := l.parts.serveHost.timer.Now()
	for i := range view {
		l.parts.choose.MarkAlive(view[i].Name, now.Add(-view[i].Age.Duration()))
	}
}

// report applies the newest load report of an upstream if it has not been applied yet.
func (l *loads) report(name string) {
	r, at, ok := l.parts.roster.Load(name)
	if !ok || at.Equal(l.heard[name]) {
		return
	}
	l.heard[name] = at
	l.parts.choose.Report(r, at)
	l.parts.yield.Report(r, at)
}

// count adds an upstream to changed if the count of other hosts is not the one applied last.
func (l *loads) count(name string) {
	n := l.parts.roster.Peers(name)
	if old, ok := l.peers[name]; ok && old == n {
		return
	}
	l.peers[name] = n
	l.changed = append(l.changed, name)
}

// same reports whether two lists are the same snapshot, by the address of their first element.
func same(a, b []upstream.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
