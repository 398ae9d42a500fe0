package queue

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/limits/fair"
	"siskinrun/pkg/refusal"
)

const (
	// MostTeam is the number of requests of one team that wait unless settings say otherwise.
	MostTeam = 256
	// Most is the number of requests that wait in all unless settings say otherwise.
	Most = 4096

	cullInterval = 25 * time.Millisecond
	// paceMemory is the number of requests over which the pace is averaged.
	paceMemory = 64
	leastRetry = 100 * time.Millisecond
	// retrySpread is the part by which the time to come back varies.
	retrySpread  = 0.5
	longestRetry = 30 * time.Second
)

// Queue lets in as many requests of one service and class as there are slots.
type Queue struct {
	// Timer tells the time.
	Timer *timer.Service
	// MostTeam bounds the waiting requests of one team; zero means the constant.
	MostTeam int
	// Most bounds all waiting requests; zero means the constant.
	Most int
	// Metrics counts what enters, waits and is refused.
	Metrics metrics.Registry

	once    sync.Once
	mu      sync.Mutex
	slots   int
	busy    int
	waiting fair.Queue[*entrant]
	// late are those that may wait on though they cannot start as soon as they should.
	late    fair.Queue[*entrant]
	pace    pace
	culling bool
	entered metrics.Counter
	refused metrics.Counter
	waits   metrics.Histogram
}

// entrant is one waiting request.
type entrant struct {
	team   string
	weight int64
	cost   int64
	// deadline is when the request is refused, which may be later than when it should have started.
	deadline time.Time
	done     chan error
}

// Enter waits for a slot and returns the function that frees it; the error is a not-run refusal.
func (q *Queue) Enter(
	ctx context.Context, team string, weight, cost int64, deadline time.Time,
) (leave func(), err error) {
	return q.EnterBy(ctx, team, weight, cost, deadline, deadline)
}

// EnterBy is Enter for a request that should start by a time and may wait, behind those in time, until its deadline.
func (q *Queue) EnterBy(
	ctx context.Context, team string, weight, cost int64, by, deadline time.Time,
) (leave func(), err error) {
	q.once.Do(q.init)
	start := q.Timer.Now()
	e, err := q.joinBy(start, &entrant{team: team, weight: weight, cost: cost, deadline: deadline, done: make(chan error, 1)}, by)
	if err != nil {
		q.refused.Inc(1)
		return nil, err
	}
	select {
	case err = <-e.done:
	case <-ctx.Done():
		err = q.abandon(team, e)
	}
	if err != nil {
		q.refused.Inc(1)
		return nil, err
	}
	n := q.Timer.Now()
	q.entered.Inc(1)
	q.waits.Update(int64(n.Sub(start)))
	return q.leaver(n, cost), nil
}

// SetSlots changes how many requests may run side by side.
func (q *Queue) SetSlots(n int) {
	q.once.Do(q.init)
	q.mu.Lock()
	defer q.mu.Unlock()
	q.slots = max(n, 0)
	q.fill()
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
	q.waiting.MostTeam = q.MostTeam
	if q.MostTeam == 0 {
		q.waiting.MostTeam = MostTeam
	}
	q.waiting.Most = q.Most
	if q.Most == 0 {
		q.waiting.Most = Most
	}
	q.late.MostTeam = q.waiting.MostTeam
	q.late.Most = q.waiting.Most
	q.entered = metrics.GetOrRegisterCounter("queue-entered", q.Metrics)
	q.refused = metrics.GetOrRegisterCounter("queue-refused", q.Metrics)
	q.waits = metrics.GetOrRegisterHistogram("queue-wait", q.Metrics, metrics.NewExpDecaySample(1028, 0.015))
}

// join is joinBy for a request that may wait no longer than it should.
func (q *Queue) join(now time.Time, team string, weight, cost int64, deadline time.Time) (*entrant, error) {
	e := &entrant{team: team, weight: weight, cost: cost, deadline: deadline, done: make(chan error, 1)}
	return q.joinBy(now, e, deadline)
}

// joinBy takes a free slot or a place in a queue, or refuses at once.
func (q *Queue) joinBy(now time.Time, e *entrant, by time.Time) (*entrant, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if !e.deadline.After(now) {
		return nil, overloaded(0)
	}
	if q.busy < q.slots && q.waiting.Len()+q.late.Len() == 0 {
		q.busy++
		e.done <- nil
		return e, nil
	}
	if q.slots == 0 {
		return nil, overloaded(time.Second)
	}
	w := q.wait(q.waiting.Ahead(e.team, e.weight, e.cost))
	if !now.Add(w).After(by) {
		if !q.waiting.Push(e.team, e.weight, e.cost, by, e) {
			return nil, overloaded(w)
		}
		q.watch()
		return e, nil
	}
	if !e.deadline.After(by) || !q.postpone(now, e) {
		return nil, overloaded(now.Add(w).Sub(by) + q.wait(q.late.Cost()))
	}
	q.watch()
	return e, nil
}

// postpone queues a request behind those in time and reports whether it can still be answered there.
func (q *Queue) postpone(now time.Time, e *entrant) bool {
	w := q.wait(q.waiting.Cost() + q.late.Ahead(e.team, e.weight, e.cost))
	return !now.Add(w).After(e.deadline) && q.late.Push(e.team, e.weight, e.cost, e.deadline, e)
}

// abandon takes a request whose caller has gone out of the queue.
func (q *Queue) abandon(team string, e *entrant) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	is := func(o *entrant) bool { return o == e }
	if q.waiting.Remove(team, is) || q.late.Remove(team, is) {
		return errGone
	}
	err := <-e.done
	if err == nil {
		q.busy--
		q.fill()
		err = errGone
	}
	return err
}

func (q *Queue) leaver(entered time.Time, cost int64) func() {
	var once sync.Once
	return func() {
		once.Do(func() { q.leave(entered, cost) })
	}
}

func (q *Queue) leave(entered time.Time, cost int64) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.pace.add(q.Timer.Now().Sub(entered), max(cost, 1))
	q.busy--
	q.fill()
}

// fill gives free slots to waiting requests.
func (q *Queue) fill() {
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

// watch refuses, while requests wait, those that can no longer be answered in time.
func (q *Queue) watch() {
	if q.culling {
		return
	}
	q.culling = true
	q.Timer.After(cullInterval, q.cull)
}

func (q *Queue) cull(now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.culling = false
	l := q.waiting.Cull(func(ahead int64, by time.Time) bool {
		return now.Add(q.wait(ahead)).After(by)
	})
	for _, e := range l {
		if !q.postpone(now, e) {
			e.done <- overloaded(q.wait(q.waiting.Cost() + q.late.Cost()))
		}
	}
	first := q.waiting.Cost()
	l = q.late.Cull(func(ahead int64, deadline time.Time) bool {
		return now.Add(q.wait(first + ahead)).After(deadline)
	})
	for _, e := range l {
		e.done <- overloaded(q.wait(first + q.late.Cost()))
	}
	if q.waiting.Len()+q.late.Len() > 0 {
		q.watch()
	}
}

// wait returns how long the slots take for a cost.
func (q *Queue) wait(cost int64) time.Duration {
	if q.slots == 0 {
		return longestRetry
	}
	return q.pace.of(cost) / time.Duration(q.slots)
}

func overloaded(retry time.Duration) *refusal.Refusal {
	r := refusal.NewNotRun(503, "overloaded", "the service cannot answer in time")
	// Callers that were refused together do not return together.
	retry += time.Duration(rand.Float64() * retrySpread * float64(retry))
	return r.WithRetryAfter(min(max(retry, leastRetry), longestRetry))
}

var errGone = refusal.NewNotRun(503, "caller-gone", "the caller left while the request waited")
