package drain

import (
	"sync"
	"time"

	"siskinrun/pkg/refusal"
)

const (
	// sampleCount is the number of calls of a route whose durations are kept.
	sampleCount = 32
	// minSamples is the number of calls from which the durations of a route are relied on.
	minSamples = 3
	// maxRoutes bounds the routes whose durations are kept, since configurations replace routes.
	maxRoutes = 4096
	// margin is the time by which a call must be expected to end before the host does.
	margin = 250 * time.Millisecond
	// retryAfter is when a refused caller may come back. Other hosts can take the call at once.
	retryAfter = 100 * time.Millisecond
)

// errStopping refuses a call that this host could not finish.
var errStopping = refusal.NewNotRun(503, "host-stopping", "this host stops before the call could end").WithRetryAfter(retryAfter)

// Drain knows how long calls take, and when a stopping host ends.
type Drain struct {
	// Limit is the time from the start of a stop to the end of the host, zero if the host waits for all calls.
	Limit time.Duration

	mu     sync.Mutex
	end    time.Time
	routes map[string]*samples
}

// samples are the durations of the last calls of a route.
type samples struct {
	durations []time.Duration
	next      int
}

// Begin starts the stop of the host.
func (d *Drain) Begin(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Limit > 0 && d.end.IsZero() {
		d.end = now.Add(d.Limit)
	}
}

// Observe records how long a whole answer on a route took.
func (d *Drain) Observe(route string, took time.Duration) {
	if d.Limit <= 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.routes[route]
	if s == nil {
		if d.routes == nil || len(d.routes) >= maxRoutes {
			d.routes = map[string]*samples{}
		}
		s = &samples{}
		d.routes[route] = s
	}
	s.add(took)
}

// Admit returns a refusal for a call that began to be served now and might not end before the host does: its deadline is later,
// and so is the end of a call that takes as long as the longest of the route's last ones.
func (d *Drain) Admit(now, deadline time.Time, route string) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.end.IsZero() {
		return nil
	}
	end := deadline
	if l, ok := d.routes[route].longest(); ok && now.Add(l).Before(end) {
		end = now.Add(l)
	}
	if end.Add(margin).After(d.end) {
		return errStopping
	}
	return nil
}

func (s *samples) add(took time.Duration) {
	if len(s.durations) < sampleCount {
		s.durations = append(s.durations, took)
		return
	}
	s.durations[s.next] = took
	s.next = (s.next + 1) % sampleCount
}

// longest returns the longest duration, and whether there are enough to rely on.
func (s *samples) longest() (time.Duration, bool) {
	if s == nil || len(s.durations) < minSamples {
		return 0, false
	}
	var l time.Duration
	for _, t := range s.durations {
		l = max(l, t)
	}
	return l, true
}
