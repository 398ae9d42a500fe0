package drain

import (
	"sync"
	"time"

	"siskinrun/pkg/refusal"
)

const (
	// margin is the time by which the caller of a call must leave before the host ends.
	margin = 250 * time.Millisecond
	// retryAfter is when a refused caller may come back. Other hosts can take the call at once.
	retryAfter = 100 * time.Millisecond
)

// errStopping refuses a call that this host might not finish.
var errStopping = refusal.NewNotRun(503, "host-stopping", "this host stops before the call must end").WithRetryAfter(retryAfter)

// Drain knows when a stopping host ends.
type Drain struct {
	// Limit is the time from the start of a stop to the end of the host, zero if the host waits for all calls.
	Limit time.Duration

	mu  sync.Mutex
	end time.Time
}

// Begin starts the stop of the host.
func (d *Drain) Begin(now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.Limit > 0 && d.end.IsZero() {
		d.end = now.Add(d.Limit)
	}
}

// Admit returns a refusal for a call that might not end before the host does, since its caller waits longer. What earlier calls
// took is no bound for it.
func (d *Drain) Admit(deadline time.Time) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.end.IsZero() || !deadline.Add(margin).After(d.end) {
		return nil
	}
	return errStopping
}
