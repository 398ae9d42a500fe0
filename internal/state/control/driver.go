package control

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/leadership"
	"siskinrun/internal/base/ring"
	"siskinrun/internal/base/statemachine"
	"siskinrun/internal/state/disk"
	"siskinrun/internal/state/effect"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/memberset"
	"siskinrun/internal/state/message"
	"siskinrun/internal/state/replica"
	"siskinrun/internal/state/storage"
)

const (
	maxEventBatch = 1024
	// logTailEntries is the number of entries that stay in the log after a snapshot, for members that lag behind.
	logTailEntries = 2048
)

// event is a call on the replica by its goroutine.
type event func(now time.Time)

// driver runs one replica, with one goroutine each for the replica, the disk and the state machine.
type driver struct {
	control *Service
	group   uint32
	machine statemachine.Machine
	storage *storage.Storage
	replica *replica.Replica
	stopped <-chan struct{}
	inbox   *ring.Ring[event]
	writes  *ring.Ring[writeRequest]
	applies *ring.Ring[applyRequest]
	view    atomic.Pointer[view]

	mu            sync.Mutex
	notifications []event
	waiters       map[uint64]waiter
	pendingReads  map[uint64]chan readResult
	readID        uint64
	applied       uint64
	indexWaiters  []indexWaiter

	// Owned by the replica's goroutine.
	wasLeader bool
	backlog   []logentry.Entry
	compactTo uint64

	// Owned by the state machine's goroutine.
	members  memberset.Set
	logBytes int64
}

// writeRequest is what the replica's goroutine hands to the disk's.
type writeRequest struct {
	effect    effect.Effect
	compactTo uint64
}

// applyRequest is what the goroutines of the replica and the disk hand to the state machine's.
type applyRequest struct {
	entries []logentry.Entry
	install *message.Message
}

func newDriver(ctx context.Context, c *Service, n uint32, m statemachine.Machine, f *disk.Disk) (*driver, error) {
	s := &storage.Storage{Disk: f, Members: memberset.Set{Voters: c.formation.Members}}
	r, err := s.Open()
	if err != nil {
		return nil, err
	}
	if r.Base > 0 {
		if err := s.Restore(r.Base, func(b io.Reader) error { return m.Restore(b) }); err != nil {
			return nil, errors.Wrap(err, "restore the state machine from a snapshot")
		}
	}
	d := &driver{
		control:      c,
		group:        n,
		machine:      m,
		storage:      s,
		replica:      replica.NewReplica(c.self, c.Seed+uint64(n), r, c.Timer.Now()),
		stopped:      ctx.Done(),
		inbox:        ring.NewRing[event](inboxLength),
		writes:       ring.NewRing[writeRequest](writeQueueLength),
		applies:      ring.NewRing[applyRequest](applyQueueLength),
		waiters:      map[uint64]waiter{},
		pendingReads: map[uint64]chan readResult{},
		applied:      r.Base,
		members:      r.Members,
	}
	d.publish(leadership.Status{})
	return d, nil
}

func (d *driver) start(g *group.Group) {
	g.Go("replica", d.runReplica)
	g.Go("journal", d.runDisk)
	g.Go("machine", d.runMachine)
}

// runReplica is the goroutine that owns the replica.
func (d *driver) runReplica(ctx context.Context) error {
	for {
		events, err := d.inbox.PopBatch(ctx, maxEventBatch)
		if err != nil {
			return err
		}
		now := d.control.Timer.Now()
		for _, e := range append(d.takeNotifications(), events...) {
			e(now)
		}
		if err := d.replica.Check(); err != nil {
			return errors.Wrapf(err, "group %d", d.group)
		}
		if err := d.dispatch(ctx, d.replica.Take(now)); err != nil {
			return err
		}
		d.publishLeadership(now)
	}
}

// dispatch hands the effects to the goroutines that carry them out.
func (d *driver) dispatch(ctx context.Context, e effect.Effect) error {
	d.control.send(d.group, e.Send)
	d.completeReads(e)
	if e.IsDurable() || len(e.SendAfterSync) > 0 {
		if err := d.writes.Push(ctx, writeRequest{effect: e}); err != nil {
			return err
		}
	}
	d.backlog = append(d.backlog, e.Committed...)
	if len(d.backlog) > 0 && d.applies.TryPush(applyRequest{entries: d.backlog}) {
		d.backlog = nil
	}
	if d.compactTo == 0 {
		return nil
	}
	w := writeRequest{compactTo: d.compactTo}
	d.compactTo = 0
	return d.writes.Push(ctx, w)
}

// notify queues an event from another goroutine of the group without blocking.
func (d *driver) notify(e event) {
	d.mu.Lock()
	d.notifications = append(d.notifications, e)
	d.mu.Unlock()
	d.inbox.TryPush(func(time.Time) {})
}

func (d *driver) takeNotifications() []event {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := d.notifications
	d.notifications = nil
	return n
}

// do runs f on the replica's goroutine and returns its error.
func (d *driver) do(ctx context.Context, f func(now time.Time) error) error {
	done := make(chan error, 1)
	if err := d.inbox.Push(ctx, func(now time.Time) { done <- f(now) }); err != nil {
		return notLeader("")
	}
	select {
	case err := <-done:
		return err
	case <-d.stopped:
		return outcomeUnknown("this host is stopping")
	case <-ctx.Done():
		return outcomeUnknown(ctx.Err().Error())
	}
}

func (d *driver) leader() identity.Identity {
	return d.view.Load().leader
}
