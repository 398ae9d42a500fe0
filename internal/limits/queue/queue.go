package queue

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/limits/slotrequest"
	"siskinrun/pkg/refusal"
)

const (
	// DefaultMaxPerTeam bounds the waiting requests of one team and rank unless settings say otherwise.
	DefaultMaxPerTeam = 256
	// DefaultMaxWaiting bounds the waiting requests of one rank unless settings say otherwise.
	DefaultMaxWaiting = 4096

	// expiryInterval is the time between checks for waiting requests that can no longer start in time.
	expiryInterval = 25 * time.Millisecond
	// serviceTimeSamples is the number of requests over which the service time is averaged.
	serviceTimeSamples = 64
	// waitError is the share by which an estimated wait may be off: that of an average over serviceTimeSamples requests whose
	// times spread as widely as they are long.
	waitError = 1.0 / 8
	// minRetryAfter is the shortest Retry-After: by then other hosts, which may have room, know what this one uses.
	minRetryAfter = 100 * time.Millisecond
	// maxRetryAfter is the longest Retry-After of callers whose time is not known.
	maxRetryAfter = 30 * time.Second
	// maxWait bounds estimated waits.
	maxWait = time.Hour
)

// Queue admits as many requests of one service at a time as this host may use of its slots. A request waits if it can still
// start in its caller's time when those that go before it are served, and is refused at once if it cannot.
//
// Higher ranks go first, teams of one rank share by weight, and of one team the nearest time to start goes first.
type Queue struct {
	// Timer tells the time.
	Timer *timer.Service
	// MaxPerTeam bounds the waiting requests of one team and rank; zero means DefaultMaxPerTeam.
	MaxPerTeam int
	// MaxWaiting bounds the waiting requests of one rank; zero means DefaultMaxWaiting.
	MaxWaiting int
	// Metrics receives the numbers of admitted and refused requests and the waiting times.
	Metrics metrics.Registry

	once  sync.Once
	mu    sync.Mutex
	slots slots
	busy  int
	// closed refuses all requests, nil while the service has upstreams that may get work.
	closed *refusal.Refusal
	// classes are the waiting requests by rank, in order.
	classes []*class
	// waitingSince is since when requests have waited without a break.
	waitingSince    time.Time
	serviceTime     serviceTime
	expiryScheduled bool
	entered         metrics.Counter
	refused         metrics.Counter
	waits           metrics.Histogram
}

// waiter is one waiting request.
type waiter struct {
	slotrequest.Request
	done chan error
}

// Acquire waits for a slot and returns the function that frees it; the error is a not-run refusal.
func (q *Queue) Acquire(ctx context.Context, r slotrequest.Request) (release func(), err error) {
	q.once.Do(q.init)
	start := q.Timer.Now()
	e, err := q.enqueue(start, r)
	if err != nil {
		q.refused.Inc(1)
		return nil, err
	}
	select {
	case err = <-e.done:
	case <-ctx.Done():
		err = q.cancel(e)
	}
	if err != nil {
		q.refused.Inc(1)
		return nil, err
	}
	n := q.Timer.Now()
	q.entered.Inc(1)
	q.waits.Update(int64(n.Sub(start)))
	return q.releaseFunc(n, r.Cost), nil
}

// SetSlots changes how many requests may run at a time, on a host that shares the slots with no other.
func (q *Queue) SetSlots(n int) {
	q.ShareSlots(max(n, 0), 0, 1)
}

// ShareSlots changes the slots of the service, how many of them other hosts use, and among how many hosts they are shared.
func (q *Queue) ShareSlots(total, taken, hosts int) {
	q.once.Do(q.init)
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Timer.Now()
	q.slots.total, q.slots.taken, q.slots.hosts = total, taken, max(hosts, 1)
	if q.waiting() == 0 {
		q.slots.allow(q.busy)
	} else {
		q.slots.yield()
	}
	q.dispatch(n)
}

// Close refuses all requests, also those that wait, until it is called with nil.
func (q *Queue) Close(r *refusal.Refusal) {
	q.once.Do(q.init)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = r
	if r == nil {
		return
	}
	for _, c := range q.classes {
		for _, e := range c.waiting.RemoveLate(func(int64, time.Time) bool { return true }) {
			e.done <- r.WithJitter()
		}
	}
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting()
}

// Busy returns the number of requests that hold a slot.
func (q *Queue) Busy() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.busy
}

func (q *Queue) init() {
	if q.Metrics == nil {
		q.Metrics = metrics.NewRegistry()
	}
	q.slots.hosts, q.slots.rivals = 1, 1
	q.entered = metrics.GetOrRegisterCounter("queue-entered", q.Metrics)
	q.refused = metrics.GetOrRegisterCounter("queue-refused", q.Metrics)
	q.waits = metrics.GetOrRegisterHistogram("queue-wait", q.Metrics, metrics.NewExpDecaySample(1028, 0.015))
}

// waiting returns the number of waiting requests.
func (q *Queue) waiting() int {
	n := 0
	for _, c := range q.classes {
		n += c.waiting.Len()
	}
	return n
}

// enqueue takes a free slot, queues the request or refuses it at once.
func (q *Queue) enqueue(now time.Time, r slotrequest.Request) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed != nil {
		return nil, q.closed.WithJitter()
	}
	e := &waiter{Request: r, done: make(chan error, 1)}
	free, err := q.judge(now, r)
	if err != nil {
		return nil, err
	}
	if free {
		q.busy++
		e.done <- nil
		return e, nil
	}
	q.class(r.Rank).waiting.Push(r.Team, r.Weight, r.Cost, r.Latest, e)
	q.scheduleExpiry()
	return e, nil
}

// judge counts a request and reports whether it starts at once; if it does not, it may wait. The error is a refusal.
func (q *Queue) judge(now time.Time, r slotrequest.Request) (free bool, err error) {
	c := q.class(r.Rank)
	q.arrived(c, arrival{now, r.Latest.Sub(now), max(r.Cost, 1)})
	if !r.Deadline.After(now) {
		return false, overloaded(0)
	}
	if q.busy < q.slots.usable && q.waiting() == 0 {
		return true, nil
	}
	if q.waiting() == 0 {
		q.waitingSince = now
	}
	if late := q.lateBy(now, c, r); late > 0 || c.waiting.Full(r.Team) {
		return false, overloaded(late)
	}
	return false, nil
}

// lateBy returns by how much a request would start too late, zero if it fits: it starts in time behind those that go before
// it now and that are likely to come and go before it, and none that waits behind it becomes late by it.
func (q *Queue) lateBy(now time.Time, c *class, r slotrequest.Request) time.Duration {
	slack := r.Latest.Sub(now)
	outranked := func(wait time.Duration) time.Duration { return q.outranking(now, c, wait) }
	wait := q.estimateWait(c, c.waiting.Ahead(r.Team, r.Weight, r.Cost, r.Latest), outranked) + q.time(1)/2
	wait += c.arrivals.overtaking(now, q.time(1), slack)
	line := q.estimateWait(c, c.waiting.Ahead(r.Team, r.Weight, r.Cost, farFuture), unchanged)
	wait += scale(min(line, slack), waitError)
	if wait > slack {
		return wait - slack
	}
	displaces := c.waiting.Displaces(r.Team, r.Cost, r.Latest, func(ahead int64, latest time.Time) bool {
		return now.Add(q.estimateWait(c, ahead, unchanged)).After(latest)
	})
	if displaces {
		return q.time(max(r.Cost, 1))
	}
	return 0
}

// cancel removes a request whose caller has left, or frees the slot that it has got meanwhile.
func (q *Queue) cancel(e *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.class(e.Rank).waiting.Remove(e.Team, func(o *waiter) bool { return o == e }) {
		return errCallerGone
	}
	err := <-e.done
	if err == nil {
		q.busy--
		q.dispatch(q.Timer.Now())
		err = errCallerGone
	}
	return err
}

func (q *Queue) releaseFunc(entered time.Time, cost int64) func() {
	var once sync.Once
	return func() {
		once.Do(func() { q.release(entered, cost) })
	}
}

func (q *Queue) release(entered time.Time, cost int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	n := q.Timer.Now()
	q.serviceTime.add(n.Sub(entered), max(cost, 1))
	q.busy--
	q.dispatch(n)
}

// dispatch gives free slots to waiting requests that can still be answered in time.
func (q *Queue) dispatch(now time.Time) {
	for q.busy < q.slots.usable {
		e, ok := q.pop()
		if !ok {
			return
		}
		if now.After(e.Latest) {
			e.done <- overloaded(0)
			continue
		}
		q.busy++
		e.done <- nil
	}
}

// scheduleExpiry schedules expire unless it is scheduled already.
func (q *Queue) scheduleExpiry() {
	if q.expiryScheduled {
		return
	}
	q.expiryScheduled = true
	q.Timer.After(expiryInterval, q.expire)
}

// expire refuses the requests that cannot start in time any more, and claims free slots for the others.
func (q *Queue) expire(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expiryScheduled = false
	for _, c := range q.classes {
		l := c.waiting.RemoveLate(func(ahead int64, latest time.Time) bool {
			return now.Add(scale(q.estimateWait(c, ahead, unchanged), 1-waitError)).After(latest)
		})
		for _, e := range l {
			e.done <- overloaded(0)
		}
	}
	if q.waiting() == 0 {
		return
	}
	if q.slots.mayClaim(now, q.waitingSince) {
		q.slots.claim(now, q.busy)
		q.dispatch(now)
	}
	if q.waiting() > 0 {
		q.scheduleExpiry()
	}
}

// overloaded refuses a request that would start too late by the given time. It may come back once that much has been served.
func overloaded(late time.Duration) *refusal.Refusal {
	return errOverloaded.WithRetryAfter(min(max(late, minRetryAfter), maxRetryAfter)).WithJitter()
}

// farFuture is later than any time at which a request must start.
var farFuture = time.Unix(1<<40, 0)

var (
	errOverloaded = refusal.NewNotRun(503, "overloaded", "the service cannot answer in time")
	errCallerGone = refusal.NewNotRun(503, "caller-gone", "the caller left while the request waited")
)
