package serve

import (
	"context"
	"time"

	"siskinrun/internal/data/upstream"
	"siskinrun/internal/jobs/assignment"
)

// loadsInterval is how often counts and reports of the fleet are taken in.
const loadsInterval = 50 * time.Millisecond

// loads takes the counts and reports of the fleet into the choice and the batch windows.
type loads struct {
	parts *parts
	// view is the list of upstreams that was taken in last, and heard tells when the reports since were measured.
	view []upstream.Upstream
	// changed are the upstreams whose counts have changed since the last look.
	changed []string
	heard   map[string]time.Time
	// peers are the counts of other hosts that were taken in since.
	peers map[string]int
	// takers is the number of hosts that share the slots.
	takers int
}

// run takes in what has changed until ctx ends.
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

// look takes in a list of upstreams unless it is the one that was taken in last.
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

// report takes in the newest report of an upstream if it is not the last one.
func (l *loads) report(name string) {
	r, at, ok := l.parts.roster.Load(name)
	if !ok || at.Equal(l.heard[name]) {
		return
	}
	l.heard[name] = at
	l.parts.choose.Report(r, at)
	l.parts.yield.Report(r, at)
}

// count notes an upstream whose count of other hosts is not the one that was taken in.
func (l *loads) count(name string) {
	n := l.parts.roster.Peers(name)
	if old, ok := l.peers[name]; ok && old == n {
		return
	}
	l.peers[name] = n
	l.changed = append(l.changed, name)
}

// same reports whether two lists are one and the same snapshot.
func same(a, b []upstream.Upstream) bool {
	return len(a) == len(b) && (len(a) == 0 || &a[0] == &b[0])
}
