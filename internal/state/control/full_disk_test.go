package control_test

import (
	"context"
	"net"
	"os"
	"path/filepath"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/statemachine"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/state/control"
	"siskinrun/internal/state/diskspace"
	"siskinrun/internal/state/proposal"
)

const (
	// fullRounds is how often the disks of all hosts are full in turn, and fullTime for how long each.
	fullRounds = 4
	fullTime   = 700 * time.Millisecond
	fullPause  = 20 * time.Millisecond
	// restartPause is the time after which a host that has ended by itself is started again.
	restartPause = 50 * time.Millisecond
	// smallSnapshot is the size in bytes of a log that triggers a snapshot every few commands.
	smallSnapshot = 4 << 10
	// proposers propose a command every proposalPause and wait for its outcome for proposalTime.
	proposers     = 4
	proposalPause = 5 * time.Millisecond
	proposalTime  = 2 * time.Second
)

// fullHost is a control host on a fullDisk that is started again when it ends by itself.
type fullHost struct {
	name, folder string
	// socket keeps the address of the host while it does not run.
	socket *os.File
	disk   *fullDisk
	ends   atomic.Int64

	mu      sync.Mutex
	client  *proposal.Client
	counter *counter
	stop    context.CancelFunc
}

// current returns the client and the state machine of the current run.
func (h *fullHost) current() (*proposal.Client, *counter) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.client, h.counter
}

// fullFleet is three control hosts on disks that can be full.
type fullFleet struct {
	t       *testing.T
	names   []string
	ports   map[string]string
	hosts   []*fullHost
	timer   *timer.Service
	group   *group.Group
	stopped context.Context
	// snapshotBytes is the size of the log that triggers a snapshot, zero for the default.
	snapshotBytes int64
}

func newFullFleet(t *testing.T, snapshotBytes int64, refuses ...operation) *fullFleet {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f := &fullFleet{t: t, names: []string{"a", "b", "c"}, ports: map[string]string{}, timer: timer.NewService(), stopped: ctx, group: group.NewGroup(ctx), snapshotBytes: snapshotBytes}
	f.group.Go("timer", f.timer.Run)
	folder := t.TempDir()
	t.Cleanup(func() {
		cancel()
		_ = f.group.Wait()
	})
	for _, n := range f.names {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		is.New(t).NoErr(err)
		f.ports[n] = l.Addr().String()
		k, err := l.(*net.TCPListener).File()
		is.New(t).NoErr(err)
		t.Cleanup(func() { _ = k.Close() })
		_ = l.Close()
		d := &fullDisk{refuses: map[operation]bool{}}
		for _, o := range refuses {
			d.refuses[o] = true
		}
		f.hosts = append(f.hosts, &fullHost{name: n, folder: filepath.Join(folder, n), socket: k, disk: d})
	}
	for _, h := range f.hosts {
		f.group.Go("host", func(ctx context.Context) error { return f.supervise(ctx, h) })
	}
	f.await("first proposal", func() bool { return f.propose(f.hosts[0]) })
	return f
}

// supervise runs a host until the fleet ends, and starts it again whenever it ends.
func (f *fullFleet) supervise(ctx context.Context, h *fullHost) error {
	for ctx.Err() == nil {
		err := f.run(ctx, h)
		if ctx.Err() == nil {
			h.ends.Add(1)
			f.t.Logf("%s ended: %v", h.name, err)
		}
		_ = f.timer.Sleep(ctx, restartPause)
	}
	return nil
}

// run runs a host until it ends.
func (f *fullFleet) run(ctx context.Context, h *fullHost) error {
	x, err := net.FileListener(h.socket)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	m := timer.NewService()
	l := &rpc.Endpoint{Name: h.name, Listener: x, Peers: f.ports, Secret: []byte("s"), Timer: m, Log: zerolog.Nop()}
	n := &counter{}
	c := &control.Service{
		Name: h.name, Folder: h.folder, Hosts: f.names, Machines: map[uint32]statemachine.Machine{0: n}, Link: l, Timer: m,
		Log: zerolog.Nop(), Metrics: metrics.NewRegistry(), Seed: uint64(h.name[0]), SnapshotBytes: f.snapshotBytes, System: h.disk,
		Space: &diskspace.Waiter{Pause: func(error) error { return m.Sleep(ctx, fullPause) }},
	}
	c.Register()
	h.mu.Lock()
	h.client = &proposal.Client{Link: l, Control: c, Hosts: f.names, Timer: m}
	h.counter = n
	h.stop = cancel
	h.mu.Unlock()
	g := group.NewGroup(ctx)
	g.Go("timer", m.Run)
	g.Go("link", l.Run)
	g.Go("control", c.Run)
	return g.Wait()
}

// propose proposes a command at a host and reports whether it was applied.
func (f *fullFleet) propose(h *fullHost) bool {
	k, _ := h.current()
	if k == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(f.stopped, proposalTime)
	defer cancel()
	_, err := k.Propose(ctx, 0, make([]byte, 500))
	return err == nil
}

// await waits until a condition is met, and returns how long that took.
func (f *fullFleet) await(what string, met func() bool) time.Duration {
	f.t.Helper()
	began := f.timer.Now()
	for !met() {
		if f.timer.Now().Sub(began) > progressWait {
			f.t.Fatalf("%s: not in %v", what, progressWait)
		}
		_ = f.timer.Sleep(f.stopped, fullPause)
	}
	return f.timer.Now().Sub(began)
}

// fillInTurn lets the disks be full one after another with no pause between, while commands are proposed at all hosts.
func (f *fullFleet) fillInTurn() (proposed, applied int64) {
	ctx, cancel := context.WithCancel(f.stopped)
	g := group.NewGroup(ctx)
	var all, done atomic.Int64
	for i := range proposers {
		g.Go("proposer", func(ctx context.Context) error {
			for ctx.Err() == nil {
				all.Add(1)
				if f.propose(f.hosts[i%len(f.hosts)]) {
					done.Add(1)
				}
				_ = f.timer.Sleep(ctx, proposalPause)
			}
			return nil
		})
	}
	for range fullRounds {
		for _, h := range f.hosts {
			h.disk.full.Store(true)
			_ = f.timer.Sleep(f.stopped, fullTime)
			h.disk.full.Store(false)
		}
	}
	cancel()
	_ = g.Wait()
	return all.Load(), done.Load()
}

// wantServing waits until changes are served at all hosts, and all have the same state with all applied commands.
func (f *fullFleet) wantServing(applied int64) {
	f.t.Helper()
	for _, h := range f.hosts {
		d := f.await("a change", func() bool { return f.propose(h) })
		f.t.Logf("%s: %d operations refused, %d ends, a change after %v", h.name, h.disk.refused.Load(), h.ends.Load(), d)
	}
	f.await("the same state at all hosts", func() bool {
		_, first := f.hosts[0].current()
		for _, h := range f.hosts {
			if _, c := h.current(); c.value() != first.value() {
				return false
			}
		}
		return first.value() >= uint64(applied)
	})
}

// restart ends all hosts at once, which then read what is on their disks.
func (f *fullFleet) restart() {
	for _, h := range f.hosts {
		h.mu.Lock()
		h.stop()
		h.mu.Unlock()
	}
	_ = f.timer.Sleep(f.stopped, restartPause)
}

// TestChangesAreServedAfterDisksWereFullInTurn guards against groups that refuse or hold changes for good after the disks of their
// hosts were full one after another, never two at once, and against hosts that can't read what these disks have left.
func TestChangesAreServedAfterDisksWereFullInTurn(t *testing.T) {
	for _, c := range []struct {
		name    string
		refuses []operation
		// snapshotBytes is the size of the log that triggers a snapshot, zero for the default.
		snapshotBytes int64
	}{
		{"whole writes", []operation{opOpen, opWrite}, smallSnapshot},
		{"short writes", []operation{opOpen, opShortWrite}, smallSnapshot},
		{"short writes that stay", []operation{opOpen, opShortWrite, opCut}, smallSnapshot},
		{"short writes that stay in a long log", []operation{opOpen, opShortWrite, opCut}, 0},
		{"renames", []operation{opRename}, smallSnapshot},
		{"removals", []operation{opRemove}, smallSnapshot},
		{"truncations", []operation{opWrite, opTruncate}, smallSnapshot},
		{"syncs", []operation{opSync}, smallSnapshot},
		{"syncs of the folder", []operation{opSyncFolder}, smallSnapshot},
		{"all", []operation{opOpen, opWrite, opShortWrite, opCut, opSync, opTruncate, opRename, opRemove, opSyncFolder}, smallSnapshot},
	} {
		t.Run(c.name, func(t *testing.T) {
			t.Parallel()
			f := newFullFleet(t, c.snapshotBytes, c.refuses...)
			proposed, applied := f.fillInTurn()
			t.Logf("%d of %d proposals were applied", applied, proposed)
			f.wantServing(applied)
			f.restart()
			f.wantServing(applied)
		})
	}
}
