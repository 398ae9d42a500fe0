package lane

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/limits/meter"
	"siskinrun/pkg/refusal"
)

const (
	// checkInterval is the time between two checks of whether a waiting call can still be served in time.
	checkInterval = 100 * time.Millisecond
	// paceTime is the time of waiting over which the pace of a line is averaged. Permits come in spurts, and within the span to
	// which a rate limit applies.
	paceTime = meter.Span
	// waitError is the share by which an estimated wait may be off.
	waitError = 0.25
	// maxWaiting bounds the waiting calls of one service.
	maxWaiting = 1024
	// firstPace is the pause between two departures of a line that has seen none.
	firstPace = 250 * time.Millisecond
	// minRetryAfter is the shortest Retry-After of a call that found no permit: other hosts may get the next one.
	minRetryAfter = 100 * time.Millisecond
	// minRetry is the least time between two attempts of the first call to be sent.
	minRetry = 5 * time.Millisecond
)

// Lane holds the waiting calls of each service; it is safe for concurrent use.
//
// Higher ranks go first, and of one rank the calls that must start first.
type Lane struct {
	// Timer is the clock.
	Timer *timer.Service

	mu       sync.Mutex
	services map[string]*line
	last     uint64
	// closed are the services whose upstreams may all get no work.
	closed map[string]bool
}

// line is the waiting calls of one service, in order.
type line struct {
	waiters []*waiter
	// departed is when the last call left to be sent, or when calls began to wait.
	departed time.Time
	// pauses are the times of waiting before the last departures, for paceTime in all, and paused is their sum.
	pauses []time.Duration
	paused time.Duration
}

// waiter is one waiting call.
type waiter struct {
	ticket uint64
	rank   int
	// latest is the last time at which the call can start and be answered in time.
	latest time.Time
	// woken is signalled when the call has become the first of its line, or its service was closed.
	woken chan struct{}
}

// Busy reports whether calls of a service wait.
func (l *Lane) Busy(service string) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.line(service).waiters) > 0
}

// Estimate returns how long a call of a service that came now would be likely to wait behind all others.
func (l *Lane) Estimate(service string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.line(service)
	return q.estimate(l.Timer.Now(), len(q.waiters))
}

// SetClosed sets the services whose upstreams are all evacuated. Their calls don't wait.
func (l *Lane) SetClosed(services map[string]bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = services
	for s := range services {
		for _, w := range l.line(s).waiters {
			w.wake()
		}
	}
}

// Closed refuses a call of a service whose upstreams are all evacuated, and returns nil for others.
func (l *Lane) Closed(service string) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed[service] {
		return refusal.UpstreamEvacuated.WithJitter()
	}
	return nil
}

// Refuse refuses a call of a service for lack of a permit. It names the time after which there should be one, that of the
// waiting calls included.
func (l *Lane) Refuse(service string, next time.Duration) error {
	return refusal.UpstreamsLimited.WithRetryAfter(max(next, l.Estimate(service), minRetryAfter)).WithJitter()
}

// Enter adds a call to those that wait and returns its ticket, or reports that it cannot start in time.
func (l *Lane) Enter(service string, rank int, latest time.Time) (ticket uint64, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := l.Timer.Now()
	q := l.line(service)
	w := &waiter{ticket: l.last + 1, rank: rank, latest: latest, woken: make(chan struct{}, 1)}
	place, _, ok := q.judge(n, w)
	if !ok {
		return 0, false
	}
	if len(q.waiters) == 0 {
		q.departed = n
	}
	l.last++
	q.waiters = slices.Insert(q.waiters, place, w)
	return l.last, true
}

// judge returns the place of a call that would wait and how long it is likely to, and reports whether it can start in time.
func (q *line) judge(now time.Time, w *waiter) (place int, wait time.Duration, ok bool) {
	place, _ = slices.BinarySearchFunc(q.waiters, w, inOrder)
	wait = q.estimate(now, place)
	wait += time.Duration(float64(wait) * waitError)
	return place, wait, len(q.waiters) < maxWaiting && !now.Add(wait).After(w.latest)
}

// Explain returns what Enter would do with a call now: the calls of its service that wait, how long it is likely to wait behind
// those before it, and whether it could start in time. It changes nothing.
func (l *Lane) Explain(service string, rank int, latest time.Time) (waiting int, wait time.Duration, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.services[service]
	if q == nil {
		q = &line{}
	}
	_, wait, ok = q.judge(l.Timer.Now(), &waiter{ticket: l.last + 1, rank: rank, latest: latest})
	return len(q.waiters), wait, ok
}

// inOrder compares two waiting calls by the order in which they are served.
func inOrder(a, b *waiter) int {
	return cmp.Or(cmp.Compare(a.rank, b.rank), a.latest.Compare(b.latest), cmp.Compare(a.ticket, b.ticket))
}

// Wait waits for at least the given time until the call with a ticket is the first of its service. The error is a refusal:
// the call cannot start in time any more, or its caller has left.
func (l *Lane) Wait(ctx context.Context, service string, ticket uint64, least time.Duration) error {
	until := l.Timer.Now().Add(max(least, minRetry))
	for {
		if err := l.Closed(service); err != nil {
			return err
		}
		w, place, ahead := l.find(service, ticket)
		n := l.Timer.Now()
		left := until.Sub(n)
		if n.Add(max(ahead, left)).After(w.latest) {
			return l.Refuse(service, left)
		}
		if place == 0 && left <= 0 {
			return nil
		}
		d := checkInterval
		if place == 0 {
			d = min(d, left)
		}
		if !l.sleep(ctx, w, d) {
			return callerGone
		}
	}
}

// sleep waits for a time or until the call is woken, and reports whether its caller is still there.
func (l *Lane) sleep(ctx context.Context, w *waiter, d time.Duration) bool {
	due := make(chan struct{})
	stop := l.Timer.After(d, func(time.Time) { close(due) })
	defer stop()
	select {
	case <-due:
	case <-w.woken:
	case <-ctx.Done():
		return false
	}
	return true
}

// Leave removes the call with a ticket; sent says that it was sent.
func (l *Lane) Leave(service string, ticket uint64, sent bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.line(service)
	q.waiters = slices.DeleteFunc(q.waiters, func(w *waiter) bool { return w.ticket == ticket })
	if sent {
		q.depart(l.Timer.Now())
	}
	if len(q.waiters) == 0 {
		return
	}
	q.waiters[0].wake()
}

// wake has a call look again whether it goes next.
func (w *waiter) wake() {
	select {
	case w.woken <- struct{}{}:
	default: // it was signalled already
	}
}

// find returns a waiting call, the number of calls before it and how long these are likely to take.
func (l *Lane) find(service string, ticket uint64) (w *waiter, place int, ahead time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	q := l.line(service)
	place = slices.IndexFunc(q.waiters, func(o *waiter) bool { return o.ticket == ticket })
	return q.waiters[place], place, q.estimate(l.Timer.Now(), place)
}

// line returns the line of a service.
func (l *Lane) line(service string) *line {
	q := l.services[service]
	if q != nil {
		return q
	}
	if l.services == nil {
		l.services = map[string]*line{}
	}
	q = &line{}
	l.services[service] = q
	return q
}

// estimate returns how long a number of departures is likely to take.
func (q *line) estimate(now time.Time, departures int) time.Duration {
	return time.Duration(departures) * q.pace(now)
}

// pace returns the usual time between two departures. That since the last one counts, so that a line that stands still is slow.
func (q *line) pace(now time.Time) time.Duration {
	waited := q.paused + firstPace
	if len(q.waiters) > 0 {
		waited += now.Sub(q.departed)
	}
	return waited / time.Duration(len(q.pauses)+1)
}

// depart records that a call left to be sent.
func (q *line) depart(now time.Time) {
	d := now.Sub(q.departed)
	q.departed = now
	q.pauses = append(q.pauses, d)
	q.paused += d
	for q.paused-q.pauses[0] >= paceTime {
		q.paused -= q.pauses[0]
		q.pauses = q.pauses[1:]
	}
}

var callerGone = refusal.NewNotRun(503, "caller-gone", "the caller left while the call waited for a permit")
