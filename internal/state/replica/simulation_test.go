package replica_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/memberset"
	"siskinrun/internal/state/message"
	"siskinrun/internal/state/replica"
)

const (
	nodes      = 3
	faultySpan = 12 * time.Second
	healedSpan = 8 * time.Second
	// healedSyncTime bounds the syncs of slow disks once faults end.
	healedSyncTime = 5 * time.Millisecond
)

// simulation is a seeded run of three hosts in virtual time.
type simulation struct {
	random         *rand.Rand
	fault          string
	now            time.Duration
	queue          events
	seq            uint64
	nodes          []*node
	initialMembers memberset.Set
	checker        *checker
	pendingReads   map[uint64]uint64
	blocked        [nodes][nodes]bool
	extraLatency   [nodes][nodes]time.Duration
	batch          int
	faultsOff      bool
	slowDisks      bool
	lostMember     *identity.Identity
	disks          int
	healedIndex    uint64
	nextRead       uint64
	replacements   int
}

type event struct {
	at  time.Duration
	seq uint64
	do  func() error
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(v any)   { *e = append(*e, v.(event)) }
func (e *events) Pop() any {
	o := *e
	v := o[len(o)-1]
	*e = o[:len(o)-1]
	return v
}

func newSimulation(seed uint64, fault string) *simulation {
	w := &simulation{random: rand.New(rand.NewPCG(seed, 1)), fault: fault, pendingReads: map[uint64]uint64{}}
	w.batch = 1 + w.random.IntN(2)*w.random.IntN(100)
	w.checker = &checker{sim: w, leaders: map[uint64]string{}, terms: map[uint64]leadership{}, stateHashes: map[uint64]uint64{}}
	for i := range nodes {
		n := w.newNode(i)
		w.nodes = append(w.nodes, n)
		w.initialMembers.Voters = append(w.initialMembers.Voters, n.self)
	}
	return w
}

// newNode returns a host with an empty disk, which has a new identity.
func (w *simulation) newNode(i int) *node {
	w.disks++
	id := identity.Identity{Host: string(rune('a' + i)), Disk: fmt.Sprint(w.disks)}
	if w.fault == "count the vote of an emptied disk" {
		id.Disk = ""
	}
	d := newFakeDisk(w.random)
	d.skipSync = w.fault == "skip the sync"
	d.skipFolderSync = w.fault == "skip the sync of the folder"
	return &node{sim: w, self: id, disk: d, clockRate: 0.98 + 0.04*w.random.Float64()}
}

// randomSyncTime returns how long each sync of a new disk takes.
func (w *simulation) randomSyncTime() time.Duration {
	if !w.slowDisks || w.faultsOff {
		return 0
	}
	return 1 + time.Duration(w.random.Int64N(int64(maxSyncTime)))
}

func (w *simulation) run() error {
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
		w.scheduleTicks(n.index())
	}
	w.scheduleFaults()
	w.scheduleLoad()
	if err := w.runUntil(faultySpan); err != nil {
		return err
	}
	w.heal()
	if err := w.runUntil(faultySpan + healedSpan); err != nil {
		return err
	}
	return w.checker.final()
}

func (w *simulation) runUntil(end time.Duration) error {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		if err := e.do(); err != nil {
			return err
		}
	}
	return nil
}

func (w *simulation) schedule(d time.Duration, f func() error) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, f})
}

func (w *simulation) latency() time.Duration {
	if !w.faultsOff && w.random.IntN(50) == 0 {
		return time.Duration(w.random.Int64N(int64(400 * time.Millisecond)))
	}
	return time.Duration(w.random.Int64N(int64(5 * time.Millisecond)))
}

func (w *simulation) scheduleTicks(i int) {
	w.schedule(replica.TickInterval, func() error {
		w.scheduleTicks(i)
		n := w.nodes[i]
		if !n.up {
			return nil
		}
		n.replica.Tick(n.clock())
		return n.execute()
	})
}

// send sends messages; some are lost, duplicated or delayed.
func (w *simulation) send(n *node, all []message.Message) {
	for _, m := range all {
		if m.Kind == message.Chunk {
			d, last, err := n.storage.ReadChunk(m.Index, m.Offset)
			if err != nil {
				continue
			}
			m.Data, m.Last = d[:min(len(d), chunkBytes)], last && len(d) <= chunkBytes
		}
		copies := 1
		if !w.faultsOff {
			copies = []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2}[w.random.IntN(13)]
		}
		for range copies {
			d := w.latency() + w.extraLatency[n.index()][int(m.To.Host[0]-'a')]
			w.schedule(d, func() error { return w.deliver(n.index(), m) })
		}
	}
}

func (w *simulation) deliver(from int, m message.Message) error {
	to := int(m.To.Host[0] - 'a')
	n := w.nodes[to]
	if w.blocked[from][to] || !n.up {
		return nil
	}
	n.replica.Step(n.clock(), m)
	return n.execute()
}
