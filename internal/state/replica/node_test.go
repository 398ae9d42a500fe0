package replica_test

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/effect"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/memberset"
	"siskinrun/internal/state/message"
	"siskinrun/internal/state/replica"
	"siskinrun/internal/state/storage"
)

const (
	snapshotEntries = 12
	logTailEntries  = 4
	chunkBytes      = 100
	segmentBytes    = 400
)

// node is one simulated host: a replica, its storage and a state machine that hashes what it applies.
type node struct {
	sim       *simulation
	self      identity.Identity
	disk      *fakeDisk
	storage   *storage.Storage
	replica   *replica.Replica
	pending   []effect.Effect
	writing   bool
	up        bool
	clockRate float64
	// syncTime, if set, is how long a write takes; effects of that time wait for the next write.
	syncTime             time.Duration
	applied              uint64
	stateHash            uint64
	members              memberset.Set
	entriesSinceSnapshot uint64
	compactTo            uint64
	proposed             map[uint64]uint64
}

// clock returns the time of the node's clock, which runs up to 2% fast or slow.
func (n *node) clock() time.Time {
	return time.Unix(0, int64(float64(n.sim.now)*n.clockRate))
}

func (n *node) start() error {
	n.storage = &storage.Storage{Disk: n.disk, Members: n.sim.initialMembers, SegmentBytes: segmentBytes}
	r, err := n.storage.Open()
	if err != nil {
		return err
	}
	n.applied, n.stateHash, n.entriesSinceSnapshot, n.compactTo = r.Base, 0, 0, 0
	if r.Base > 0 {
		if err := n.storage.Restore(r.Base, n.loadHash); err != nil {
			return err
		}
		if err := n.sim.checker.stateHash(n, r.Base); err != nil {
			return err
		}
	}
	n.members = r.Members
	n.pending = nil
	n.writing = false
	n.proposed = map[uint64]uint64{}
	n.up = true
	n.replica = replica.NewReplica(n.self, n.sim.random.Uint64(), r, n.clock())
	n.replica.InjectFault(n.sim.fault)
	n.replica.LimitEntries(n.sim.batch)
	return nil
}

// crash stops the node and loses what is not durable.
func (n *node) crash() {
	n.up = false
	n.disk.crash()
	for id := range n.sim.pendingReads {
		if id%nodes == uint64(n.index()) {
			delete(n.sim.pendingReads, id)
		}
	}
}

func (n *node) index() int {
	return int(n.self.Host[0] - 'a')
}

// execute carries out the replica's effects after an event.
func (n *node) execute() error {
	if err := n.replica.Check(); err != nil {
		return err
	}
	e := n.replica.Take(n.clock())
	n.sim.send(n, e.Send)
	if e.IsDurable() || len(e.SendAfterSync) > 0 {
		n.pending = append(n.pending, e)
		n.scheduleWrite()
	}
	for _, c := range e.Committed {
		if err := n.apply(c); err != nil {
			return err
		}
	}
	for _, r := range e.Reads {
		if err := n.sim.checker.read(r); err != nil {
			return err
		}
	}
	for _, id := range e.RefusedReads {
		delete(n.sim.pendingReads, id)
	}
	if err := n.snapshot(); err != nil {
		return err
	}
	return n.sim.checker.node(n)
}

// scheduleWrite starts a write of the pending effects unless one is under way.
func (n *node) scheduleWrite() {
	if n.syncTime == 0 {
		if len(n.pending) == 1 {
			n.sim.schedule(n.sim.latency(), n.write)
		}
		return
	}
	if n.writing || len(n.pending) == 0 {
		return
	}
	n.writing = true
	all := n.pending
	n.pending = nil
	r := n.replica
	n.sim.schedule(n.syncTime, func() error {
		if !n.up || n.replica != r {
			return nil
		}
		n.writing = false
		defer n.scheduleWrite()
		return n.writeAll(all)
	})
}

// write makes all pending effects durable with one sync.
func (n *node) write() error {
	if !n.up || len(n.pending) == 0 {
		return nil
	}
	all := n.pending
	n.pending = nil
	return n.writeAll(all)
}

func (n *node) writeAll(all []effect.Effect) error {
	if err := n.storage.Write(all); err != nil {
		return n.onError(err)
	}
	writeID := uint64(0)
	for _, e := range all {
		if e.Chunk != nil {
			if err := n.receive(e.Chunk); err != nil {
				return n.onError(err)
			}
		}
		writeID = max(writeID, e.WriteID)
		n.sim.send(n, e.SendAfterSync)
	}
	if writeID > 0 {
		n.replica.Persisted(n.clock(), writeID)
	}
	if err := n.storage.Compact(n.compactTo); err != nil {
		return n.onError(err)
	}
	return n.execute()
}

// onError schedules a restart if the node crashed and returns any other error.
func (n *node) onError(err error) error {
	if !errors.Is(err, errCrash) {
		return err
	}
	n.crash()
	n.sim.schedule(time.Duration(n.sim.random.Int64N(int64(2*time.Second))), n.restart)
	return nil
}

func (n *node) restart() error {
	if n.up || n.sim.nodes[n.index()] != n {
		return nil
	}
	if !n.sim.faultsOff && n.sim.random.IntN(4) == 0 {
		n.disk.opsUntilCrash = n.sim.random.IntN(4)
	}
	if err := n.start(); err != nil {
		return n.onError(err)
	}
	return n.execute()
}

func (n *node) receive(c *message.Message) error {
	done, err := n.storage.Receive(c)
	if err != nil || !done {
		return err
	}
	if c.Index <= n.applied {
		n.replica.Installed(n.clock(), false)
		return nil
	}
	if err := n.storage.Restore(c.Index, n.loadHash); err != nil {
		return err
	}
	n.applied, n.members, n.entriesSinceSnapshot = c.Index, c.Members, 0
	n.replica.Installed(n.clock(), true)
	return n.sim.checker.stateHash(n, c.Index)
}

func (n *node) apply(e logentry.Entry) error {
	if e.Index <= n.applied {
		return nil
	}
	if e.Index != n.applied+1 {
		return errors.Newf("%s applies entry %d after entry %d", n.self, e.Index, n.applied)
	}
	n.applied = e.Index
	if e.Kind == logentry.MembershipChange {
		q, err := memberset.NewSet(e.Data)
		if err != nil {
			return err
		}
		n.members = q
	}
	h := fnv.New64a()
	_ = binary.Write(h, binary.BigEndian, []uint64{n.stateHash, e.Index, e.Term, uint64(e.Kind)})
	_, _ = h.Write(e.Data)
	n.stateHash = h.Sum64()
	n.entriesSinceSnapshot++
	if t, ok := n.proposed[e.Index]; ok && t == e.Term {
		n.sim.checker.acked = max(n.sim.checker.acked, e.Index)
	}
	return n.sim.checker.stateHash(n, e.Index)
}

func (n *node) snapshot() error {
	if n.entriesSinceSnapshot < snapshotEntries {
		return nil
	}
	n.entriesSinceSnapshot = 0
	t, ok := n.replica.TermAt(n.applied)
	if !ok {
		return nil
	}
	if err := n.storage.Snapshot(n.applied, t, n.members, n.saveHash); err != nil {
		return n.onError(err)
	}
	n.replica.Compact(n.applied, logTailEntries)
	n.compactTo = n.applied
	return nil
}

func (n *node) saveHash(w io.Writer) error {
	return binary.Write(w, binary.BigEndian, [40]uint64{n.stateHash})
}

func (n *node) loadHash(r io.Reader) error {
	var b [40]uint64
	err := binary.Read(r, binary.BigEndian, &b)
	n.stateHash = b[0]
	return err
}
