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
	"siskinrun/internal/base/lead"
	"siskinrun/internal/base/link"
	"siskinrun/internal/base/machine"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/state/disk"
	"siskinrun/internal/state/formation"
	"siskinrun/internal/state/groupstatus"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/replica"
	"siskinrun/pkg/refusal"
)

const (
	// SnapshotBytes is the size of the log after which a snapshot is made.
	SnapshotBytes = 16 << 20

	inboxEvents   = 8192
	writeQueue    = 256
	applyQueue    = 256
	retryInterval = 100 * time.Millisecond
)

// Control keeps the replica groups of a host on its disk and in step with its peers.
type Control struct {
	// Name is the name of this host.
	Name string
	// Folder is the data folder.
	Folder string
	// Hosts are the names of the hosts that form the groups together.
	Hosts []string
	// Decided, if set, returns the formation that is decided elsewhere, once it is.
	Decided func() formation.Formation
	// Retiring, if set, reports whether a host gives up what it keeps.
	Retiring func(host string) bool
	// Voters is the number of voters to repair to, zero for as many as formed the groups.
	Voters int
	// JoinOnly says that this host joins groups that exist and forms none.
	JoinOnly bool
	// Known, if set, returns the control hosts that answer now, with their failure domains.
	Known func() map[string]string
	// Repair is how long a voter may be silent before a spare host takes its place; zero repairs nothing unasked.
	Repair time.Duration
	// Machines are the state machines by the number of their group.
	Machines map[uint32]machine.Machine
	// Link carries messages between control hosts.
	Link *link.Link
	// Timer tells the time.
	Timer *timer.Service
	// Log takes what happens to the groups.
	Log zerolog.Logger
	// Metrics takes counts of proposals and syncs.
	Metrics metrics.Registry
	// Seed starts the random election timeouts.
	Seed uint64
	// SnapshotBytes, if set, replaces the usual size of the log between snapshots.
	SnapshotBytes int64

	mu          sync.Mutex
	disk        *disk.Disk
	self        identity.Identity
	formation   formation.Formation
	units       map[uint32]*unit
	senders     map[identity.Identity]*sender
	subscribers []func(group uint32, l lead.Lead)
	group       *group.Group
}

// Register makes the link answer the calls of other hosts and must be called before the link runs.
func (c *Control) Register() {
	c.Link.Handle(methodAppend, c.onPacket)
	c.Link.Handle(methodChunk, c.onPacket)
	c.Link.Handle(methodGreet, c.onGreet)
	c.Link.Handle(methodForm, c.onForm)
	c.Link.Handle(methodConfirm, c.onConfirm)
	c.Link.Handle(methodPropose, c.onPropose)
	c.Link.Handle(methodChange, c.onChange)
	c.Link.Handle(MethodMembers, c.onMembers)
}

// Run forms or joins the groups and keeps them until ctx ends or the disk fails.
func (c *Control) Run(ctx context.Context) error {
	if err := c.open(); err != nil {
		return err
	}
	defer func() { _ = c.disk.Close() }()
	if err := c.form(ctx); err != nil {
		return err
	}
	g := group.NewGroup(ctx)
	units, err := c.load(g)
	if err != nil {
		return err
	}
	c.mu.Lock()
	c.group = g
	c.units = units
	c.senders = map[identity.Identity]*sender{}
	c.mu.Unlock()
	for _, u := range units {
		u.start(g)
	}
	stop := c.Timer.Every(replica.TickInterval, func(time.Time) { c.tick() })
	defer stop()
	if c.Repair > 0 {
		g.Go("repair", c.repair)
	}
	return g.Wait()
}

// Propose appends a command to the log of a group that this host leads and returns its outcome.
func (c *Control) Propose(ctx context.Context, group uint32, command []byte) ([]byte, error) {
	u, err := c.unit(group)
	if err != nil {
		return nil, err
	}
	return u.propose(ctx, command)
}

// Confirm waits until the machine of a group has applied all that was acknowledged before the time returned.
func (c *Control) Confirm(ctx context.Context, group uint32) (time.Time, error) {
	u, err := c.unit(group)
	if err != nil {
		return time.Time{}, err
	}
	sent := c.Timer.Now()
	i, err := c.ask(ctx, u)
	if err != nil {
		return time.Time{}, err
	}
	return sent, u.await(ctx, i)
}

// Lead tells whether this host leads a group.
func (c *Control) Lead(group uint32) lead.Lead {
	u, err := c.unit(group)
	if err != nil {
		return lead.Lead{}
	}
	return u.lead(c.Timer.Now())
}

// Subscribe calls f whenever the leadership of a group changes and must be called before Run.
func (c *Control) Subscribe(f func(group uint32, l lead.Lead)) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.subscribers = append(c.subscribers, f)
}

// Status returns how a group stands, most fully on its leader.
func (c *Control) Status(group uint32) groupstatus.Status {
	u, err := c.unit(group)
	if err != nil {
		return groupstatus.Status{Group: group}
	}
	return u.standing(c.Timer.Now())
}

// Groups returns the numbers of the groups that run.
func (c *Control) Groups() []uint32 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Sorted(maps.Keys(c.units))
}

// Holds reports whether this host has replicas of a group.
func (c *Control) Holds(group uint32) bool {
	_, ok := c.Machines[group]
	return ok
}

func (c *Control) open() error {
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
	c.mu.Lock()
	defer c.mu.Unlock()
	c.disk = d
	c.self = i
	c.formation = f
	return nil
}

// load opens the storage of each group and restores its machine.
func (c *Control) load(g *group.Group) (map[uint32]*unit, error) {
	all := map[uint32]*unit{}
	for n, m := range c.Machines {
		d, err := disk.NewDisk(filepath.Join(c.Folder, fmt.Sprintf("group-%d", n)))
		if err != nil {
			return nil, err
		}
		u, err := newUnit(g.Context(), c, n, m, d)
		if err != nil {
			return nil, errors.Wrapf(err, "group %d", n)
		}
		all[n] = u
	}
	return all, nil
}

func (c *Control) unit(group uint32) (*unit, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	u := c.units[group]
	if u == nil {
		return nil, refusal.NewNotRun(503, codeNotLeader, "")
	}
	return u, nil
}

func (c *Control) tick() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, u := range c.units {
		u.inbox.TryPush(func(now time.Time) { u.replica.Tick(now) })
	}
}

// ask returns the place that a read of a group must have applied, as its leader confirms it.
func (c *Control) ask(ctx context.Context, u *unit) (uint64, error) {
	l := u.lead(c.Timer.Now()).Leader
	if l == c.Name || l == "" {
		return u.confirm(ctx)
	}
	return c.askLeader(ctx, l, u.group)
}
