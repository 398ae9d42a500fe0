package drive

import (
	"context"
	"strconv"
	"sync"
	"time"

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
	// sessionLength is the lease on all items of a group that this host holds.
	sessionLength = 4 * time.Second
	// sessionUse is how long this host relies on a session, shorter than the ledger counts.
	sessionUse = sessionLength - 250*time.Millisecond
	// renewInterval is the heartbeat of a session.
	renewInterval = 500 * time.Millisecond
	// claimLength is the lease on an upstream.
	claimLength = 3 * time.Second
	// claimUse is how long this host relies on a claim.
	claimUse = claimLength - 250*time.Millisecond
	// claimInterval is how often claims are renewed and upstreams looked at.
	claimInterval = 700 * time.Millisecond
	// pollInterval is how often an idle host asks for the backlog.
	pollInterval = 300 * time.Millisecond
	// watchInterval is how often windows and deadlines are looked at without being told.
	watchInterval = 25 * time.Millisecond
	// restInterval is the same on a host without items.
	restInterval = 200 * time.Millisecond
	// drainTimeout bounds the wait for items that may not be repeated at a stop.
	drainTimeout = 15 * time.Second
	// stopTimeout bounds the handing back of leases at a stop.
	stopTimeout = 3 * time.Second
	// maxAsked is the most items of one target in one ask.
	maxAsked = 256

	claimPrefix = "drive/"
)

// ledgers reaches the batch ledgers.
type ledgers interface {
	Command(ctx context.Context, group uint32, c *entry.Command) (*entry.Answer, error)
	Backlog(ctx context.Context, group uint32) ([]string, error)
	Claim(ctx context.Context, name, holder string, length time.Duration, held bool) (term, sequence uint64, err error)
	Unclaim(ctx context.Context, name, holder string) error
}

// fleet knows the hosts and upstreams that are alive.
type fleet interface {
	Hosts() []host.Host
	Upstreams() []upstream.Upstream
	// Targets returns the targets whose items an upstream serves.
	Targets(u upstream.Upstream) []string
}

// windows says how many batch items may run on an upstream now.
type windows interface {
	Window(upstream string) int
}

// runner sends an item to an upstream; its errors are refusals with a verdict.
type runner interface {
	Run(ctx context.Context, upstream string, i item.Item) (itemanswer.Answer, error)
}

// Drive runs batch items on the upstreams that this host has claimed.
type Drive struct {
	// Host is the name of this host.
	Host string
	// Incarnation differs between the runs of this host.
	Incarnation string
	// Groups is the number of groups that keep ledgers.
	Groups uint32
	// Ledgers reaches the ledgers.
	Ledgers ledgers
	// Fleet knows hosts and upstreams.
	Fleet fleet
	// Windows bounds the batch items of an upstream.
	Windows windows
	// Runner sends items.
	Runner runner
	// Timer tells the time.
	Timer *timer.Service
	// Log takes what goes wrong in the background.
	Log zerolog.Logger

	mu     sync.Mutex
	plan   *plan
	claims map[string]time.Time
	wake   map[uint32]chan struct{}
	nudge  chan struct{}
	runs   *group.Group
}

// Run drives until ctx ends; then it gives back what may be repeated and finishes the rest.
func (d *Drive) Run(ctx context.Context) error {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	d.mu.Lock()
	d.plan = newPlan(d.Groups)
	d.mu.Unlock()
	d.claims = map[string]time.Time{}
	d.wake = map[uint32]chan struct{}{}
	d.nudge = make(chan struct{}, 1)
	d.runs = group.NewGroup(inner)
	g := group.NewGroup(inner)
	for n := uint32(1); n <= d.Groups; n++ {
		d.wake[n] = make(chan struct{}, 1)
	}
	for n := uint32(1); n <= d.Groups; n++ {
		g.Go("exchange", func(ctx context.Context) error { return d.exchange(ctx, n) })
		g.Go("heartbeat", func(ctx context.Context) error { return d.heartbeat(ctx, n) })
	}
	g.Go("claim", d.claim)
	g.Go("watch", d.watch)
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
	d.handOver(context.WithoutCancel(ctx))
	return err
}

// drain starts nothing more, stops what may be repeated and waits for the rest.
func (d *Drive) drain(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, drainTimeout)
	defer cancel()
	d.mu.Lock()
	d.halt(d.plan.drain())
	d.mu.Unlock()
	for d.busy() && d.Timer.Sleep(ctx, watchInterval) == nil {
	}
}

// busy reports whether a started item is on this host.
func (d *Drive) busy() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.plan.newestFirst()) > 0
}

// Recheck looks at the windows at once, as when an online request needs room.
func (d *Drive) Recheck() {
	signal(d.nudge)
}

// Running returns the number of items that run on an upstream through this host.
func (d *Drive) Running(name string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.plan == nil || d.plan.places[name] == nil {
		return 0
	}
	return d.plan.places[name].busy
}

func (d *Drive) holder() string {
	return d.Host + "/" + d.Incarnation
}

// session names this host's current session with a group.
func (d *Drive) session(g uint32) string {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.holder() + "/" + strconv.FormatUint(d.plan.sides[g].session, 10)
}

// watch stops what is beyond a window or lease and starts what has room.
func (d *Drive) watch(ctx context.Context) error {
	for {
		t := d.after(d.watchPause())
		select {
		case <-ctx.Done():
			t.cancel()
			return ctx.Err()
		case <-d.nudge:
		case <-t.fired:
		}
		t.cancel()
		d.step()
	}
}

// watchPause returns how long windows need no look unless told: long where this host has no items.
func (d *Drive) watchPause() time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, s := range d.plan.sides {
		if len(s.tasks) > 0 {
			return watchInterval
		}
	}
	return restInterval
}

func (d *Drive) step() {
	n := d.Timer.Now()
	d.mu.Lock()
	for _, c := range d.plan.places {
		c.window = d.Windows.Window(c.name)
	}
	d.halt(d.plan.overdue(n))
	d.plan.stale(n)
	a := d.plan.assign(n)
	err := d.plan.check()
	d.mu.Unlock()
	if err != nil {
		d.Log.Error().Err(err).Msg("plan is inconsistent")
	}
	d.start(a)
	for _, w := range d.wake {
		signal(w)
	}
}

// halt stops started tasks; the caller holds the lock.
func (d *Drive) halt(tasks []*task) {
	for _, t := range tasks {
		t.stopping = true
		if t.stop != nil {
			t.stop()
		}
	}
}

type alarm struct {
	fired  chan struct{}
	cancel func()
}

func (d *Drive) after(t time.Duration) alarm {
	c := make(chan struct{}, 1)
	return alarm{fired: c, cancel: d.Timer.After(t, func(time.Time) { signal(c) })}
}

func signal(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
