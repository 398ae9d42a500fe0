package control

import (
	"context"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/lead"
	"siskinrun/internal/base/machine"
	"siskinrun/internal/base/ring"
	"siskinrun/internal/state/disk"
	"siskinrun/internal/state/effect"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/message"
	"siskinrun/internal/state/quorum"
	"siskinrun/internal/state/replica"
	"siskinrun/internal/state/storage"
)

const (
	eventBatch  = 1024
	keptEntries = 2048
)

// event is something that the loop of a group tells its replica.
type event func(now time.Time)

// unit runs one replica group with a goroutine for decisions, one for the disk and one for the machine.
type unit struct {
	control *Control
	group   uint32
	machine machine.Machine
	storage *storage.Storage
	replica *replica.Replica
	ended   <-chan struct{}
	inbox   *ring.Ring[event]
	writes  *ring.Ring[write]
	applies *ring.Ring[apply]
	view    atomic.Pointer[view]

	mu      sync.Mutex
	notices []event
	waiters map[uint64]waiter
	reads   map[uint64]chan reading
	readID  uint64
	applied uint64
	awaits  []await

	// These belong to the goroutine of the replica.
	led     bool
	backlog []logentry.Entry
	compact uint64

	// These belong to the goroutine of the machine.
	quorum quorum.Quorum
	bytes  int64
}

// write is what the loop hands to the goroutine of the disk.
type write struct {
	effect  effect.Effect
	compact uint64
}

// apply is what the loop and the disk hand to the goroutine of the machine.
type apply struct {
	entries []logentry.Entry
	install *message.Message
}

func newUnit(ctx context.Context, c *Control, n uint32, m machine.Machine, d *disk.Disk) (*unit, error) {
	s := &storage.Storage{Disk: d, Quorum: quorum.Quorum{Voters: c.formation.Members}}
	r, err := s.Open()
	if err != nil {
		return nil, err
	}
	if r.Base > 0 {
		if err := s.Restore(r.Base, func(b io.Reader) error { return m.Restore(b) }); err != nil {
			return nil, errors.Wrap(err, "restore the machine")
		}
	}
	u := &unit{
		control: c,
		group:   n,
		machine: m,
		storage: s,
		replica: replica.NewReplica(c.self, c.Seed+uint64(n), r, c.Timer.Now()),
		ended:   ctx.Done(),
		inbox:   ring.NewRing[event](inboxEvents),
		writes:  ring.NewRing[write](writeQueue),
		applies: ring.NewRing[apply](applyQueue),
		waiters: map[uint64]waiter{},
		reads:   map[uint64]chan reading{},
		applied: r.Base,
		quorum:  r.Quorum,
	}
	u.publish(lead.Lead{})
	return u, nil
}

func (u *unit) start(g *group.Group) {
	g.Go("replica", u.decide)
	g.Go("journal", u.write)
	g.Go("machine", u.apply)
}

// decide is the goroutine that owns the replica.
func (u *unit) decide(ctx context.Context) error {
	for {
		events, err := u.inbox.PopAll(ctx, eventBatch)
		if err != nil {
			return err
		}
		now := u.control.Timer.Now()
		for _, e := range append(u.noticed(), events...) {
			e(now)
		}
		if err := u.replica.Check(); err != nil {
			return errors.Wrapf(err, "group %d", u.group)
		}
		if err := u.perform(ctx, u.replica.Take(now)); err != nil {
			return err
		}
		u.observe(now)
	}
}

// perform hands the effects to those that carry them out.
func (u *unit) perform(ctx context.Context, e effect.Effect) error {
	u.control.send(u.group, e.Send)
	u.answer(e)
	if e.IsDurable() || len(e.After) > 0 {
		if err := u.writes.Push(ctx, write{effect: e}); err != nil {
			return err
		}
	}
	u.backlog = append(u.backlog, e.Committed...)
	if len(u.backlog) > 0 && u.applies.TryPush(apply{entries: u.backlog}) {
		u.backlog = nil
	}
	if u.compact == 0 {
		return nil
	}
	w := write{compact: u.compact}
	u.compact = 0
	return u.writes.Push(ctx, w)
}

// notify lets another goroutine of the group tell the replica something without waiting.
func (u *unit) notify(e event) {
	u.mu.Lock()
	u.notices = append(u.notices, e)
	u.mu.Unlock()
	u.inbox.TryPush(func(time.Time) {})
}

func (u *unit) noticed() []event {
	u.mu.Lock()
	defer u.mu.Unlock()
	n := u.notices
	u.notices = nil
	return n
}

// do runs f on the replica's goroutine and returns its error.
func (u *unit) do(ctx context.Context, f func(now time.Time) error) error {
	done := make(chan error, 1)
	if err := u.inbox.Push(ctx, func(now time.Time) { done <- f(now) }); err != nil {
		return notLeader("")
	}
	select {
	case err := <-done:
		return err
	case <-u.ended:
		return unknown("this host stops")
	case <-ctx.Done():
		return unknown(ctx.Err().Error())
	}
}

func (u *unit) leader() identity.Identity {
	return u.view.Load().leader
}
