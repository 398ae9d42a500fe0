package evacuation

import (
	"maps"
	"sync"
	"sync/atomic"

	"siskinrun/internal/data/upstream"
)

// Gate tells which upstreams may get work; it is safe for concurrent use. All choices of upstreams, all counts of slots and the
// last check before a send ask it. Its zero value lets nothing through, since a host that knows no configuration yet doesn't
// know what is evacuated.
type Gate struct {
	// domains are the evacuated failure domains, nil before the first Set.
	domains atomic.Pointer[map[string]bool]

	mu sync.Mutex
	// changed is closed at the next change, nil while nobody waits for it.
	changed chan struct{}
}

// Set sets the evacuated failure domains, which must not be changed afterwards, and reports whether they are others than before.
func (g *Gate) Set(domains map[string]bool) bool {
	old := g.domains.Swap(&domains)
	if old != nil && maps.Equal(*old, domains) {
		return false
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.changed != nil {
		close(g.changed)
		g.changed = nil
	}
	return true
}

// Changed returns a channel that is closed at the next change.
func (g *Gate) Changed() <-chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.changed == nil {
		g.changed = make(chan struct{})
	}
	return g.changed
}

// Closed returns the services of a list of upstreams of which all that are not leaving are in evacuated failure domains.
func (g *Gate) Closed(l []upstream.Upstream) map[string]bool {
	closed := map[string]bool{}
	if g.Evacuated() == 0 {
		return closed
	}
	open := map[string]bool{}
	for _, u := range l {
		switch {
		case u.Leaving:
		case g.Open(u):
			open[u.Service] = true
			delete(closed, u.Service)
		case !open[u.Service]:
			closed[u.Service] = true
		}
	}
	return closed
}

// Open reports whether an upstream may get work now.
func (g *Gate) Open(u upstream.Upstream) bool {
	m := g.domains.Load()
	return m != nil && !u.Leaving && !(*m)[u.FailureDomain]
}

// Filter returns the upstreams of a list that may get work now; it returns the list itself if all may.
func (g *Gate) Filter(l []upstream.Upstream) []upstream.Upstream {
	n := 0
	for _, u := range l {
		if g.Open(u) {
			n++
		}
	}
	if n == len(l) {
		return l
	}
	open := make([]upstream.Upstream, 0, n)
	for _, u := range l {
		if g.Open(u) {
			open = append(open, u)
		}
	}
	return open
}

// Evacuated returns the number of evacuated failure domains.
func (g *Gate) Evacuated() int {
	m := g.domains.Load()
	if m == nil {
		return 0
	}
	return len(*m)
}
