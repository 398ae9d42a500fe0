package queue

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/limits/wfq"
	"siskinrun/pkg/refusal"
)

const (
	// DefaultMaxPerTeam bounds the waiting requests of one team unless settings say otherwise.
	DefaultMaxPerTeam = 256
	// DefaultMaxWaiting bounds all waiting requests unless settings say otherwise.
	DefaultMaxWaiting = 4096

	// expiryInterval is the time between checks for waiting requests that can no longer start in time.
	expiryInterval = 25 * time.Millisecond
	// serviceTimeSamples is the number of requests over which the service time is averaged.
	serviceTimeSamples = 64
	// defaultMinRetryAfter is the shortest Retry-After unless SetMinRetryAfter sets another.
	defaultMinRetryAfter = 100 * time.Millisecond
	// retryJitter is the largest random addition to a retry time, as a fraction of it.
	retryJitter   = 0.5
	maxRetryAfter = 30 * time.Second
)

// Queue admits as many requests of one service at a time as there are slots.
type Queue struct {
	// Timer tells the time.
	Timer *timer.Service
	// MaxPerTeam bounds the waiting requests of one team; zero means DefaultMaxPerTeam.
	MaxPerTeam int
	// MaxWaiting bounds all waiting requests; zero means DefaultMaxWaiting.
	MaxWaiting int
	// Metrics receives the numbers of admitted and refused requests and the waiting times.
	Metrics metrics.Registry

	once  sync.Once
	mu    sync.Mutex
	slots int
	busy  int
	// minRetryAfter is the shortest Retry-After of refused requests, zero for defaultMinRetryAfter.
	minRetryAfter time.Duration
	waiting       wfq.Queue[*waiter]
	// late holds requests that will miss their start target but may wait until their deadline.
	late            wfq.Queue[*waiter]
	serviceTime     serviceTime
	expiryScheduled bool
	entered         metrics.Counter
	refused         metrics.Counter
	waits           metrics.Histogram
}

// waiter is one waiting request.
type waiter struct {
	team   string
	weight int64
	cost   int64
	// deadline is when the request is refused. It may be later than the start target.
	deadline time.Time
	done     chan error
}

// Acquire waits for a slot and returns the function that frees it; the error is a not-run refusal.
func (q *Queue) Acquire(
	ctx context.Context, team string, weight, cost int64, deadline time.Time,
) (release func(), err error) {
	return q.AcquireBy(ctx, team, weight, cost, deadline, deadline)
}

// AcquireBy is Acquire with a start target. A request that would miss its target waits until its deadline behind
// those that meet theirs.
func (q *Queue) AcquireBy(
	ctx context.Context, team string, weight, cost int64, by, deadline time.Time,
) (release func(), err error) {
	q.once.Do(q.init)
	start := q.Timer.Now()
	e, err := q.enqueueBy(start, &waiter{team: team, weight: weight, cost: cost, deadline: deadline, done: make(chan error, 1)}, by)
	if err != nil {
		q.refused.Inc(1)
		return nil, err
	}
	select {
	case err = <-e.done:
	case <-ctx.Done():
		err = q.cancel(team, e)
	}
	if err != nil {
		q.refused.Inc(1)
		return nil, err
	}
	n := q.Timer.Now()
	q.entered.Inc(1)
	q.waits.Update(int64(n.Sub(start)))
	return q.releaseFunc(n, cost), nil
}

// SetSlots changes how many requests may run at a time.
func (q *Queue) SetSlots(n int) {
	q.once.Do(q.init)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = max(n, 0)
	q.dispatch()
}

// SetMinRetryAfter changes the shortest Retry-After of refused requests, zero for the default.
func (q *Queue) SetMinRetryAfter(d time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.minRetryAfter = d
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.waiting.Len() + q.late.Len()
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
	q.waiting.MaxPerTeam = q.MaxPerTeam
	if q.MaxPerTeam == 0 {
		q.waiting.MaxPerTeam = DefaultMaxPerTeam
	}
	q.waiting.MaxItems = q.MaxWaiting
	if q.MaxWaiting == 0 {
		q.waiting.MaxItems = DefaultMaxWaiting
	}
	q.late.MaxPerTeam = q.waiting.MaxPerTeam
	q.late.MaxItems = q.waiting.MaxItems
	q.entered = metrics.GetOrRegisterCounter("queue-entered", q.Metrics)
	q.refused = metrics.GetOrRegisterCounter("queue-refused", q.Metrics)
	q.waits = metrics.GetOrRegisterHistogram("queue-wait", q.Metrics, metrics.NewExpDecaySample(1028, 0.015))
}

// enqueue is enqueueBy for a request whose deadline is its start target.
func (q *Queue) enqueue(now time.Time, team string, weight, cost int64, deadline time.Time) (*waiter, error) {
	e := &waiter{team: team, weight: weight, cost: cost, deadline: deadline, done: make(chan error, 1)}
	return q.enqueueBy(now, e, deadline)
}

// enqueueBy takes a free slot, queues the request or refuses it at once.
func (q *Queue) enqueueBy(now time.Time, e *waiter, by time.Time) (*waiter, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !e.deadline.After(now) {
		return nil, q.overloaded(0)
	}
	if q.busy < q.slots && q.waiting.Len()+q.late.Len() == 0 {
		q.busy++
		e.done <- nil
		return e, nil
	}
	if q.slots == 0 {
		return nil, q.overloaded(time.Second)
	}
	w := q.estimateWait(q.waiting.Ahead(e.team, e.weight, e.cost))
	if !now.Add(w).After(by) {
		if !q.waiting.Push(e.team, e.weight, e.cost, by, e) {
			return nil, q.overloaded(w)
		}
		q.scheduleExpiry()
		return e, nil
	}
	if !e.deadline.After(by) || !q.enqueueLate(now, e) {
		return nil, q.overloaded(now.Add(w).Sub(by) + q.estimateWait(q.late.Cost()))
	}
	q.scheduleExpiry()
	return e, nil
}

// enqueueLate queues a request behind those that meet their start target and reports whether it can still start
// before its deadline.
func (q *Queue) enqueueLate(now time.Time, e *waiter) bool {
	w := q.estimateWait(q.waiting.Cost() + q.late.Ahead(e.team, e.weight, e.cost))
	return !now.Add(w).After(e.deadline) && q.late.Push(e.team, e.weight, e.cost, e.deadline, e)
}

// cancel removes a request whose caller has left, or frees the slot that it has got meanwhile.
func (q *Queue) cancel(team string, e *waiter) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	match := func(o *waiter) bool { return o == e }
	if q.waiting.Remove(team, match) || q.late.Remove(team, match) {
		return errCallerGone
	}
	err := <-e.done
	if err == nil {
		q.busy--
		q.dispatch()
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
	q.serviceTime.add(q.Timer.Now().Sub(entered), max(cost, 1))
	q.busy--
	q.dispatch()
}

// dispatch gives free slots to waiting requests.
func (q *Queue) dispatch() {
	for q.busy < q.slots {
		e, ok := q.waiting.Pop()
		if !ok {
			e, ok = q.late.Pop()
		}
		if !ok {
			return
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

func (q *Queue) expire(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.expiryScheduled = false
	l := q.waiting.RemoveLate(func(ahead int64, by time.Time) bool {
		return now.Add(q.estimateWait(ahead)).After(by)
	})
	for _, e := range l {
		if !q.enqueueLate(now, e) {
			e.done <- q.overloaded(q.estimateWait(q.waiting.Cost() + q.late.Cost()))
		}
	}
	waitingCost := q.waiting.Cost()
	l = q.late.RemoveLate(func(ahead int64, deadline time.Time) bool {
		return now.Add(q.estimateWait(waitingCost + ahead)).After(deadline)
	})
	for _, e := range l {
		e.done <- q.overloaded(q.estimateWait(waitingCost + q.late.Cost()))
	}
	if q.waiting.Len()+q.late.Len() > 0 {
		q.scheduleExpiry()
	}
}

// estimateWait returns how long the slots together take for a cost.
func (q *Queue) estimateWait(cost int64) time.Duration {
	if q.slots == 0 {
		return maxRetryAfter
	}
	return q.serviceTime.estimate(cost) / time.Duration(q.slots)
}

// overloaded refuses a request that should come back after at least the given time. The caller holds q.mu.
func (q *Queue) overloaded(retry time.Duration) *refusal.Refusal {
	r := refusal.NewNotRun(503, "overloaded", "the service cannot answer in time")
	retry = max(retry, q.minRetryAfter)
	// The jitter keeps callers that were refused together from retrying together.
	retry += time.Duration(rand.Float64() * retryJitter * float64(retry))
	return r.WithRetryAfter(min(max(retry, defaultMinRetryAfter), maxRetryAfter))
}

var errCallerGone = refusal.NewNotRun(503, "caller-gone", "the caller left while the request waited")
