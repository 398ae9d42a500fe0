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
	"siskinrun/internal/state/message"
	"siskinrun/internal/state/quorum"
	"siskinrun/internal/state/replica"
	"siskinrun/internal/state/storage"
)

const (
	snapshotEntries = 12
	keptEntries     = 4
	partBytes       = 100
	segmentBytes    = 400
)

// node is one host: a replica, its storage and a machine that sums what it applies.
type node struct {
	world   *world
	self    identity.Identity
	disk    *fakeDisk
	storage *storage.Storage
	replica *replica.Replica
	pending []effect.Effect
	up      bool
	rate    float64
	applied uint64
	sum     uint64
	quorum  quorum.Quorum
	since   uint64
	compact uint64
	waiters map[uint64]uint64
}

// local returns the time of the node's clock, which runs a little fast or slow.
func (n *node) local() time.Time {
	return time.Unix(0, int64(float64(n.world.now)*n.rate))
}

func (n *node) start() error {
	n.storage = &storage.Storage{Disk: n.disk, Quorum: n.world.founders, SegmentBytes: segmentBytes}
	r, err := n.storage.Open()
	if err != nil {
		return err
	}
	n.applied, n.sum, n.since, n.compact = r.Base, 0, 0, 0
	if r.Base > 0 {
		if err := n.storage.Restore(r.Base, n.load); err != nil {
			return err
		}
		if err := n.world.check.sum(n, r.Base); err != nil {
			return err
		}
	}
	n.quorum = r.Quorum
	n.pending = nil
	n.waiters = map[uint64]uint64{}
	n.up = true
	n.replica = replica.NewReplica(n.self, n.world.random.Uint64(), r, n.local())
	n.replica.Break(n.world.fault)
	n.replica.Narrow(n.world.batch)
	return nil
}

// crash stops the node and loses what was not durable.
func (n *node) crash() {
	n.up = false
	n.disk.crash()
	for id := range n.world.reads {
		if id%nodes == uint64(n.number()) {
			delete(n.world.reads, id)
		}
	}
}

func (n *node) number() int {
	return int(n.self.Host[0] - 'a')
}

// settle carries out what the replica asks for after an event.
func (n *node) settle() error {
	if err := n.replica.Check(); err != nil {
		return err
	}
	e := n.replica.Take(n.local())
	n.world.post(n, e.Send)
	if e.IsDurable() || len(e.After) > 0 {
		n.pending = append(n.pending, e)
		if len(n.pending) == 1 {
			n.world.after(n.world.latency(), func() error { return n.write() })
		}
	}
	for _, c := range e.Committed {
		if err := n.apply(c); err != nil {
			return err
		}
	}
	for _, r := range e.Reads {
		if err := n.world.check.read(r); err != nil {
			return err
		}
	}
	for _, id := range e.Refused {
		delete(n.world.reads, id)
	}
	if err := n.snapshot(); err != nil {
		return err
	}
	return n.world.check.node(n)
}

// write makes all pending effects durable with one sync.
func (n *node) write() error {
	if !n.up || len(n.pending) == 0 {
		return nil
	}
	all := n.pending
	n.pending = nil
	if err := n.storage.Write(all); err != nil {
		return n.fell(err)
	}
	mark := uint64(0)
	for _, e := range all {
		if e.Chunk != nil {
			if err := n.receive(e.Chunk); err != nil {
				return n.fell(err)
			}
		}
		mark = max(mark, e.Mark)
		n.world.post(n, e.After)
	}
	if mark > 0 {
		n.replica.Persisted(n.local(), mark)
	}
	if err := n.storage.Compact(n.compact); err != nil {
		return n.fell(err)
	}
	return n.settle()
}

// fell restarts the node later if it crashed, and passes other errors on.
func (n *node) fell(err error) error {
	if !errors.Is(err, errCrash) {
		return err
	}
	n.crash()
	n.world.after(time.Duration(n.world.random.Int64N(int64(2*time.Second))), n.restart)
	return nil
}

func (n *node) restart() error {
	if n.up || n.world.nodes[n.number()] != n {
		return nil
	}
	if !n.world.calm && n.world.random.IntN(4) == 0 {
		n.disk.fuse = n.world.random.IntN(4)
	}
	if err := n.start(); err != nil {
		return n.fell(err)
	}
	return n.settle()
}

func (n *node) receive(c *message.Message) error {
	done, err := n.storage.Receive(c)
	if err != nil || !done {
		return err
	}
	if c.Index <= n.applied {
		n.replica.Installed(n.local(), false)
		return nil
	}
	if err := n.storage.Restore(c.Index, n.load); err != nil {
		return err
	}
	n.applied, n.quorum, n.since = c.Index, c.Quorum, 0
	n.replica.Installed(n.local(), true)
	return n.world.check.sum(n, c.Index)
}

func (n *node) apply(e logentry.Entry) error {
	if e.Index <= n.applied {
		return nil
	}
	if e.Index != n.applied+1 {
		return errors.Newf("%s applies %d after %d", n.self, e.Index, n.applied)
	}
	n.applied = e.Index
	if e.Kind == logentry.Change {
		q, err := quorum.NewQuorum(e.Data)
		if err != nil {
			return err
		}
		n.quorum = q
	}
	h := fnv.New64a()
	_ = binary.Write(h, binary.BigEndian, []uint64{n.sum, e.Index, e.Term, uint64(e.Kind)})
	_, _ = h.Write(e.Data)
	n.sum = h.Sum64()
	n.since++
	if t, ok := n.waiters[e.Index]; ok && t == e.Term {
		n.world.check.acked = max(n.world.check.acked, e.Index)
	}
	return n.world.check.sum(n, e.Index)
}

func (n *node) snapshot() error {
	if n.since < snapshotEntries {
		return nil
	}
	n.since = 0
	t, ok := n.replica.TermAt(n.applied)
	if !ok {
		return nil
	}
	if err := n.storage.Snapshot(n.applied, t, n.quorum, n.save); err != nil {
		return n.fell(err)
	}
	n.replica.Compact(n.applied, keptEntries)
	n.compact = n.applied
	return nil
}

func (n *node) save(w io.Writer) error {
	return binary.Write(w, binary.BigEndian, [40]uint64{n.sum})
}

func (n *node) load(r io.Reader) error {
	var b [40]uint64
	err := binary.Read(r, binary.BigEndian, &b)
	n.sum = b[0]
	return err
}
