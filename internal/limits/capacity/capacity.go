package capacity

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/queuestate"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/limits/queue"
	"siskinrun/internal/limits/slotrequest"
	"siskinrun/pkg/refusal"
)

// answerTimes tells how long answers usually take once their calls are sent.
type answerTimes interface {
	First(route string) time.Duration
	Whole(route string) time.Duration
}

// Controller admits online calls to the slots of their services through one fair queue per service.
type Controller struct {
	// Timer tells the time.
	Timer *timer.Service
	// Metrics receives the metrics of the queues, by service.
	Metrics metrics.Registry
	// Answers tells how long the answers of each route take.
	Answers answerTimes
	// Patience returns how long the callers of a route wait for the first event of a stream before they leave, zero if only
	// their deadlines tell. It is nil if callers wait until their deadlines.
	Patience func(r route.Route) time.Duration

	mu     sync.Mutex
	queues map[string]*queue.Queue
	slots  map[string]slotCount
	// closed are the services whose upstreams may all get no work.
	closed map[string]bool
}

// slotCount is what a queue was last told of the slots of its service.
type slotCount struct {
	total, taken, hosts int
}

// callsAhead is the number of calls that may wait at each upstream, so that no slot is idle between two calls and where hosts
// choose upstreams by counts that are some time old. It also lets a call find out when a limited upstream has a permit.
const callsAhead = 2

// SetTimes sets how long the caller of a call waits, and the last time at which the call can usually start and still be
// answered then: whole by its deadline and, where callers leave a stream that does not begin, with its first event by then.
func (c *Controller) SetTimes(q *call.Call) {
	q.LatestStart = q.Deadline.Add(-c.Answers.Whole(q.Route))
	if c.Patience == nil {
		return
	}
	q.Patience = c.Patience(q.RouteConfig)
	if q.Patience <= 0 {
		return
	}
	q.FirstBy = q.Arrived.Add(q.Patience)
	if t := q.FirstBy.Add(-c.Answers.First(q.Route)); t.Before(q.LatestStart) {
		q.LatestStart = t
	}
}

// Acquire waits for a slot of the call's service, until the time that SetTimes has set.
func (c *Controller) Acquire(ctx context.Context, q *call.Call) (release func(), err error) {
	return c.queue(q.RouteConfig.Service).Acquire(ctx, slotRequest(q))
}

// Explain returns what Acquire would do with a call now, and changes nothing. A service of which no call has come and no
// upstream was heard has no queue yet.
func (c *Controller) Explain(q *call.Call) (s queuestate.State, ok bool) {
	c.mu.Lock()
	o := c.queues[q.RouteConfig.Service]
	c.mu.Unlock()
	if o == nil {
		return s, false
	}
	return o.Explain(slotRequest(q)), true
}

// slotRequest returns what a call asks of the queue of its service.
func slotRequest(q *call.Call) slotrequest.Request {
	return slotrequest.Request{
		Team:     q.Team,
		Weight:   max(q.Weight, 1),
		Cost:     q.Cost,
		Rank:     q.Rank,
		Latest:   q.LatestStart,
		Deadline: q.Deadline,
	}
}

// SetClosed sets the services whose upstreams are all evacuated. Their calls are refused, also those that wait.
func (c *Controller) SetClosed(services map[string]bool) {
	c.mu.Lock()
	old := c.closed
	c.closed = services
	c.mu.Unlock()
	for s := range old {
		if !services[s] {
			c.queue(s).Close(nil)
		}
	}
	for s := range services {
		if !old[s] {
			c.queue(s).Close(refusal.UpstreamEvacuated)
		}
	}
}

// Update tells the queues the slots of their services and how many of them the other hosts use. An upstream that names a
// rate limit counts with those of its slots that its limit lets this host use.
func (c *Controller) Update(
	upstreams []upstream.Upstream, slots func(u upstream.Upstream) float64, peers func(name string) int, hosts int,
) {
	total := map[string]float64{}
	ahead := map[string]int{}
	taken := map[string]int{}
	for _, u := range upstreams {
		if u.Leaving {
			continue
		}
		total[u.Service] += slots(u)
		ahead[u.Service] += callsAhead
		taken[u.Service] += peers(u.Name)
	}
	for s, f := range total {
		n := int(math.Ceil(f)) + ahead[s]
		c.shareSlots(s, slotCount{total: n, taken: taken[s], hosts: hosts})
	}
}

// shareSlots changes the slots of a service. A service without upstreams keeps its slots: its calls pass the queue and
// are refused when an upstream is picked.
func (c *Controller) shareSlots(service string, n slotCount) {
	q := c.queue(service)
	c.mu.Lock()
	same := c.slots[service] == n
	c.slots[service] = n
	c.mu.Unlock()
	if !same {
		q.ShareSlots(n.total, n.taken, n.hosts)
	}
}

func (c *Controller) queue(service string) *queue.Queue {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.queues == nil {
		c.queues = map[string]*queue.Queue{}
		c.slots = map[string]slotCount{}
	}
	q := c.queues[service]
	if q == nil {
		q = &queue.Queue{Timer: c.Timer, Metrics: metrics.NewPrefixedChildRegistry(c.Metrics, "queue."+service+".")}
		q.SetSlots(1)
		c.queues[service] = q
	}
	return q
}
