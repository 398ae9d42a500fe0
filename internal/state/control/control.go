package control

import (
	"context"
	"fmt"
	"maps"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/leadership"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/statemachine"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/state/disk"
	"siskinrun/internal/state/diskspace"
	"siskinrun/internal/state/filesystem"
	"siskinrun/internal/state/formation"
	"siskinrun/internal/state/groupstatus"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/replica"
	"siskinrun/pkg/refusal"
)

const (
	// SnapshotBytes is the log size that triggers a snapshot.
	SnapshotBytes = 16 << 20

	inboxLength      = 8192
	writeQueueLength = 256
	applyQueueLength = 256
	retryInterval    = 100 * time.Millisecond
)

// Service runs the replica groups of a control host on its disk.
type Service struct {
	// Name is the name of this host.
	Name string
	// Folder is the data folder.
	Folder string
	// Hosts are the names of the hosts that form the groups.
	Hosts []string
	// DecidedFormation, if set, returns a formation that is decided elsewhere, once it has been.
	DecidedFormation func() formation.Formation
	// Retiring, if set, reports whether a host is being retired and gives up its replicas.
	Retiring func(host string) bool
	// Voters is the number of voters that repair restores; zero means as many as formed the groups.
	Voters int
	// JoinOnly says that this host joins existing groups and forms none.
	JoinOnly bool
	// LiveHosts, if set, returns the control hosts that answer now, with their failure domains.
	LiveHosts func() map[string]string
	// RepairAfter is how long a voter may be silent before a spare host replaces it; zero disables automatic repair.
	RepairAfter time.Duration
	// Machines are the state machines by group number.
	Machines map[uint32]statemachine.Machine
	// Link carries messages between control hosts.
	Link *rpc.Endpoint
	// Timer tells the time.
	Timer *timer.Service
	// Log receives events of the groups.
	Log zerolog.Logger
	// Metrics counts proposals, leadership changes and sent packets.
	Metrics metrics.Registry
	// Space, if set, waits while the disk is full.
	Space *diskspace.Waiter
	// System, if set, replaces the file system of the operating system for the files of the groups.
	System filesystem.System
	// Seed seeds the random election timeouts.
	Seed uint64
	// SnapshotBytes, if set, replaces the default log size that triggers a snapshot.
	SnapshotBytes int64

	mu          sync.Mutex
	disk        *disk.Disk
	self        identity.Identity
	formation   formation.Formation
	drivers     map[uint32]*driver
	senders     map[identity.Identity]*sender
	subscribers []func(group uint32, l leadership.Status)
	group       *group.Group
}

// Register registers the handlers for calls of other hosts; it must be called before the link runs.
func (c *Service) Register() {
	c.Link.Handle(methodAppend, c.onPacket)
	c.Link.Handle(methodChunk, c.onPacket)
	c.Link.Handle(methodGreet, c.onGreet)
	c.Link.Handle(methodForm, c.onForm)
	c.Link.Handle(methodConfirm, c.onConfirm)
	c.Link.Handle(methodPropose, c.onPropose)
	c.Link.Handle(methodChange, c.onChange)
	c.Link.Handle(MethodMembers, c.onMembers)
}

// Run forms or joins the groups and runs them until ctx ends or the disk fails.
func (c *Service) Run(ctx context.Context) error {
	if err := c.open(); err != nil {
		return err
	}
	defer func() { _ = c.disk.Close() }()
	if err := c.form(ctx); err != nil {
		return err
	}
	g := group.NewGroup(ctx)
	drivers, err := c.openGroups(g)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.group = g
	c.drivers = drivers
	c.senders = map[identity.Identity]*sender{}
	c.mu.Unlock()
	for _, d := range drivers {
		d.start(g)
	}
	stop := c.Timer.Every(replica.TickInterval, func(time.Time) { c.tick() })
	defer stop()
	if c.RepairAfter > 0 {
		g.Go("repair", c.runRepair)
	}
	return g.Wait()
}

// Propose appends a command to the log of a group that this host leads and returns its outcome.
func (c *Service) Propose(ctx context.Context, group uint32, command []byte) ([]byte, error) {
	d, err := c.driver(group)
	if err != nil {
		return nil, err
	}
	return d.propose(ctx, command)
}

// Confirm waits until the state machine of a group has applied all that was acknowledged before the time that it returns.
func (c *Service) Confirm(ctx context.Context, group uint32) (time.Time, error) {
	d, err := c.driver(group)
	if err != nil {
		return time.Time{}, err
	}
	sent := c.Timer.Now()
	i, err := c.readIndex(ctx, d)
	if err != nil {
		return time.Time{}, err
	}
	return sent, d.waitApplied(ctx, i)
}

// Lead returns whether and until when this host leads a group.
func (c *Service) Lead(group uint32) leadership.Status {
	d, err := c.driver(group)
	if err != nil {
		return leadership.Status{}
	}
	return d.lead(c.Timer.Now())
}

// Subscribe calls f on every leadership change of a group; it must be called before Run.
func (c *Service) Subscribe(f func(group uint32, l leadership.Status)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, f)
}

// Status returns the status of a group, which is most complete on the leader.
func (c *Service) Status(group uint32) groupstatus.Status {
	d, err := c.driver(group)
	if err != nil {
		return groupstatus.Status{Group: group}
	}
	return d.status(c.Timer.Now())
}

// Groups returns the numbers of the running groups.
func (c *Service) Groups() []uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.drivers))
}

// Holds reports whether this host has a replica of a group.
func (c *Service) Holds(group uint32) bool {
	_, ok := c.Machines[group]
	return ok
}

func (c *Service) open() error {
	d, err := disk.NewDisk(c.Folder)
	if err != nil {
		return err
	}
	i, err := identity.NewIdentity(d, c.Name)
	if err != nil {
		return err
	}
	f, err := formation.NewFormation(d)
	if err != nil {
		return err
	}
	if f.IsZero() && !f.MayForm && c.DecidedFormation == nil && !c.JoinOnly {
		f.MayForm = true
		if err := f.Save(d); err != nil {
			return err
		}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disk = d
	c.self = i
	c.formation = f
	return nil
}

// openGroups opens the storage of each group and restores its state machine.
func (c *Service) openGroups(g *group.Group) (map[uint32]*driver, error) {
	all := map[uint32]*driver{}
	for n, m := range c.Machines {
		f, err := disk.NewDisk(filepath.Join(c.Folder, fmt.Sprintf("group-%d", n)))
		if err != nil {
			return nil, err
		}
		f.Space = c.Space
		f.System = c.System
		d, err := newDriver(g.Context(), c, n, m, f)
		if err != nil {
			return nil, errors.Wrapf(err, "group %d", n)
		}
		all[n] = d
	}
	return all, nil
}

func (c *Service) driver(group uint32) (*driver, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := c.drivers[group]
	if d == nil {
		return nil, refusal.NewNotRun(503, codeNotLeader, "")
	}
	return d, nil
}

func (c *Service) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, d := range c.drivers {
		d.inbox.TryPush(func(now time.Time) { d.replica.Tick(now) })
	}
}

// readIndex returns the index that a read of a group must have applied, as confirmed by the leader.
func (c *Service) readIndex(ctx context.Context, d *driver) (uint64, error) {
	l := d.lead(c.Timer.Now()).Leader
	if l == c.Name || l == "" {
		return d.readIndex(ctx)
	}
	return c.requestReadIndex(ctx, l, d.group)
}
