package executor

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/host"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/item"
	"siskinrun/internal/data/itemanswer"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/jobs/entry"
)

const (
	// sessionTTL is how long the ledger of a group keeps the leases of this host after a renewal.
	sessionTTL = 4 * time.Second
	// localSessionTTL is how long this host relies on a session. It is shorter than sessionTTL, so that
	// the host stops before the ledger leases its items to another.
	localSessionTTL = sessionTTL - 250*time.Millisecond
	// heartbeatInterval is the time between two renewals of a session.
	heartbeatInterval = 500 * time.Millisecond
	// claimTTL is the length of the lease on an upstream.
	claimTTL = 3 * time.Second
	// localClaimTTL is how long this host relies on a claim, shorter than claimTTL.
	localClaimTTL = claimTTL - 250*time.Millisecond
	// claimInterval is how often claims are renewed and the set of upstreams to claim is computed.
	claimInterval = 700 * time.Millisecond
	// pollInterval is how often the backlog of a group is polled.
	pollInterval = 300 * time.Millisecond
	// reconcileInterval is the longest time between two checks of windows and leases.
	reconcileInterval = 25 * time.Millisecond
	// idleReconcileInterval replaces reconcileInterval on a host without items.
	idleReconcileInterval = 200 * time.Millisecond
	// drainTimeout bounds the wait at shutdown for items that may not be repeated.
	drainTimeout = 15 * time.Second
	// stopTimeout bounds the return of leases at shutdown.
	stopTimeout = 3 * time.Second
	// maxItemsPerRequest bounds the items of one target in a lease request and the outcomes in a report.
	maxItemsPerRequest = 256

	// claimPrefix precedes the name of an upstream in the name that is claimed. Hosts send it to each other.
	claimPrefix = "drive/"
)

// ledgers sends commands and queries to the batch ledgers and claims to the group leaders.
type ledgers interface {
	Command(ctx context.Context, group uint32, c *entry.Command) (*entry.Answer, error)
	Backlog(ctx context.Context, group uint32) ([]string, error)
	Claim(ctx context.Context, name, holder string, length time.Duration, held bool) (term, sequence uint64, err error)
	ReleaseClaim(ctx context.Context, name, holder string) error
}

// fleet lists the live hosts and upstreams.
type fleet interface {
	Hosts() []host.Host
	Upstreams() []upstream.Upstream
	// Targets returns the targets whose items an upstream serves.
	Targets(u upstream.Upstream) []string
}

// windows limits the batch items on an upstream.
type windows interface {
	// Window returns up to how many items may be started.
	Window(upstream string) int
	// Keep returns how many of the running items may go on, which is at least Window.
	Keep(upstream string) int
}

// runner sends an item to an upstream. Its errors are refusals with a verdict.
type runner interface {
	Run(ctx context.Context, upstream string, i item.Item) (itemanswer.Answer, error)
}

// Executor leases batch items and runs them on the upstreams that this host has claimed.
type Executor struct {
	// Host is the name of this host.
	Host string
	// Incarnation differs between the runs of this host.
	Incarnation string
	// Groups is the number of replica groups that keep a ledger.
	Groups uint32
	// Ledgers gives access to the ledgers.
	Ledgers ledgers
	// Fleet lists hosts and upstreams.
	Fleet fleet
	// Routes finds the routes of items.
	Routes routes
	// Windows limits the batch items on an upstream.
	Windows windows
	// Places, if set, tells where runs are preempted only for calls that have no other place.
	Places places
	// Metrics, if set, counts results and stopped runs.
	Metrics metrics.Registry
	// Runner sends items to upstreams.
	Runner runner
	// Timer provides the clock and sleeps.
	Timer *timer.Service
	// Log receives the failures of background work.
	Log zerolog.Logger

	mu        sync.Mutex
	scheduler *scheduler
	// claims maps an upstream to the time until which this host relies on its claim.
	claims map[string]time.Time
	// claiming are the upstreams whose claims are under way.
	claiming      map[string]bool
	exchangeWake  map[uint32]chan struct{}
	reconcileWake chan struct{}
	runs          *group.Group
	// runTime is the average length of the runs that gave a whole result, zero before the first.
	runTime atomic.Int64
	// waitingSince is since when a group has had items ready that an upstream of this host serves, in Unix nanoseconds, zero if
	// none has.
	waitingSince atomic.Int64
}

// Run executes items until ctx ends. It then stops repeatable items and returns their leases, and waits for
// the other items to finish.
func (d *Executor) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.mu.Lock()
	d.scheduler = newScheduler(d.Groups)
	d.scheduler.routeOf = d.Routes.RouteOf
	d.scheduler.metrics = d.Metrics
	d.claims = map[string]time.Time{}
	d.claiming = map[string]bool{}
	d.mu.Unlock()
	d.exchangeWake = map[uint32]chan struct{}{}
	d.reconcileWake = make(chan struct{}, 1)
	d.runs = group.NewGroup(inner)
	g := group.NewGroup(inner)
	for n := uint32(1); n <= d.Groups; n++ {
		d.exchangeWake[n] = make(chan struct{}, 1)
	}
	for n := uint32(1); n <= d.Groups; n++ {
		g.Go("exchange", func(ctx context.Context) error { return d.exchange(ctx, n) })
		g.Go("heartbeat", func(ctx context.Context) error { return d.heartbeat(ctx, n) })
	}
	g.Go("claim", d.claimLoop)
	g.Go("watch", d.reconcileLoop)
	g.Go("drain", func(inner context.Context) error {
		select {
		case <-inner.Done():
			return inner.Err()
		case <-ctx.Done():
		}
		d.drain(inner)
		cancel()
		return nil
	})
	err := g.Wait()
	_ = d.runs.Wait()
	d.returnLeases(context.WithoutCancel(ctx))
	return err
}

// drain starts no more items, stops those that may be repeated and waits for the others.
func (d *Executor) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	d.mu.Lock()
	d.stopAll(d.scheduler.drain())
	d.mu.Unlock()
	for d.busy() && d.Timer.Sleep(ctx, reconcileInterval) == nil {
	}
}

// busy reports whether this host has a started item.
func (d *Executor) busy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.scheduler.startedNewestFirst()) > 0
}

// Recheck applies changed windows at once, for example when an online request needs a slot.
func (d *Executor) Recheck() {
	signal(d.reconcileWake)
}

// Running returns the number of items that this host runs on an upstream.
func (d *Executor) Running(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.scheduler == nil || d.scheduler.upstreams[name] == nil {
		return 0
	}
	return d.scheduler.upstreams[name].started
}

// RunTime returns the average length of the runs that gave a whole result, or a default before the first.
func (d *Executor) RunTime(byDefault time.Duration) time.Duration {
	if n := d.runTime.Load(); n > 0 {
		return time.Duration(n)
	}
	return byDefault
}

// Waiting returns how long items that upstreams of this host serve have been waiting for a slot without a break.
func (d *Executor) Waiting() time.Duration {
	n := d.waitingSince.Load()
	if n == 0 {
		return 0
	}
	return max(d.Timer.Now().Sub(time.Unix(0, n)), 0)
}

func (d *Executor) holder() string {
	return d.Host + "/" + d.Incarnation
}

// session returns the name of this host's current session with a group.
func (d *Executor) session(g uint32) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder() + "/" + strconv.FormatUint(d.scheduler.groups[g].session, 10)
}

// reconcileLoop reconciles at an interval and when it is woken.
func (d *Executor) reconcileLoop(ctx context.Context) error {
	for {
		t := d.after(d.reconcileDelay())
		select {
		case <-ctx.Done():
			t.cancel()
			return ctx.Err()
		case <-d.reconcileWake:
		case <-t.fired:
		}
		t.cancel()
		d.reconcile()
	}
}

// reconcileDelay returns the time until the next check, which is longer on a host without items.
func (d *Executor) reconcileDelay() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.scheduler.groups {
		if len(s.tasks) > 0 {
			return reconcileInterval
		}
	}
	return idleReconcileInterval
}

// reconcile stops items beyond a limit or lease and starts pending items in free slots.
func (d *Executor) reconcile() {
	n := d.Timer.Now()
	version, confirmed := d.Routes.Revision()
	d.mu.Lock()
	for _, c := range d.scheduler.upstreams {
		c.setLimits(d.Windows)
		c.setPlaces(n, d.Places)
	}
	d.scheduler.applyRevision(n, version, confirmed)
	d.scheduler.endRouteless(n)
	stop := d.scheduler.tasksToStop(n)
	d.logPreempted(stop)
	d.stopAll(stop)
	d.scheduler.returnStale(n)
	a := d.scheduler.assign(n)
	err := d.scheduler.check()
	d.mu.Unlock()
	if err != nil {
		d.Log.Error().Err(err).Msg("scheduler state is inconsistent")
	}
	d.startTasks(a)
	for _, w := range d.exchangeWake {
		signal(w)
	}
}

// logPreempted logs the runs that stop for calls without another place. There is at most one line for each item and host.
func (d *Executor) logPreempted(tasks []*task) {
	for _, t := range tasks {
		c := t.upstream
		if !t.preempting || !c.whole {
			continue
		}
		d.Log.Info().Str("job", t.item.Job).Int("item", t.item.Index).Str("upstream", c.name).
			Uint64("events", t.item.Received.Load()).Float64("expected-events", d.scheduler.expected[t.route]).
			Int("running", c.started).Int("keep", c.keep).Int("free-elsewhere", c.elsewhere).Msg("batch run preempted")
	}
}

// stopAll cancels the runs of started tasks. The caller holds d.mu.
func (d *Executor) stopAll(tasks []*task) {
	for _, t := range tasks {
		t.stopping = true
		if t.stop != nil {
			t.stop()
		}
	}
}

// timeout signals fired once unless it is cancelled before.
type timeout struct {
	fired  chan struct{}
	cancel func()
}

func (d *Executor) after(t time.Duration) timeout {
	c := make(chan struct{}, 1)
	return timeout{fired: c, cancel: d.Timer.After(t, func(time.Time) { signal(c) })}
}

// signal wakes the receiver of c without blocking; signals that are not yet received are merged.
func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
