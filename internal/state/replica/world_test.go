package replica_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"time"

	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/message"
	"siskinrun/internal/state/quorum"
	"siskinrun/internal/state/replica"
)

const (
	nodes      = 3
	faultySpan = 12 * time.Second
	healedSpan = 8 * time.Second
)

// world is a seeded run of three hosts in virtual time.
type world struct {
	random   *rand.Rand
	fault    string
	now      time.Duration
	queue    events
	seq      uint64
	nodes    []*node
	founders quorum.Quorum
	check    *check
	reads    map[uint64]uint64
	blocked  [nodes][nodes]bool
	late     [nodes][nodes]time.Duration
	batch    int
	calm     bool
	lost     *identity.Identity
	disks    int
	healed   uint64
	nextRead uint64
	changes  int
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

func newWorld(seed uint64, fault string) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), fault: fault, reads: map[uint64]uint64{}}
	w.batch = 1 + w.random.IntN(2)*w.random.IntN(100)
	w.check = &check{world: w, leaders: map[uint64]string{}, sums: map[uint64]uint64{}}
	for i := range nodes {
		n := w.fresh(i)
		w.nodes = append(w.nodes, n)
		w.founders.Voters = append(w.founders.Voters, n.self)
	}
	return w
}

// fresh returns a host with an empty disk, which is someone else than it was before.
func (w *world) fresh(i int) *node {
	w.disks++
	id := identity.Identity{Host: string(rune('a' + i)), Disk: fmt.Sprint(w.disks)}
	if w.fault == "count the vote of an emptied disk" {
		id.Disk = ""
	}
	d := newFakeDisk(w.random)
	d.skipSync = w.fault == "skip the sync"
	d.skipFolder = w.fault == "skip the sync of the folder"
	return &node{world: w, self: id, disk: d, rate: 0.98 + 0.04*w.random.Float64()}
}

func (w *world) run() error {
	for _, n := range w.nodes {
		if err := n.start(); err != nil {
			return err
		}
		w.ticks(n.number())
	}
	w.chaos()
	w.load()
	if err := w.until(faultySpan); err != nil {
		return err
	}
	w.heal()
	if err := w.until(faultySpan + healedSpan); err != nil {
		return err
	}
	return w.check.final()
}

func (w *world) until(end time.Duration) error {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		if err := e.do(); err != nil {
			return err
		}
	}
	return nil
}

func (w *world) after(d time.Duration, f func() error) {
	w.seq++
	heap.Push(&w.queue, event{w.now + d, w.seq, f})
}

func (w *world) latency() time.Duration {
	if !w.calm && w.random.IntN(50) == 0 {
		return time.Duration(w.random.Int64N(int64(400 * time.Millisecond)))
	}
	return time.Duration(w.random.Int64N(int64(5 * time.Millisecond)))
}

func (w *world) ticks(i int) {
	w.after(replica.TickInterval, func() error {
		w.ticks(i)
		n := w.nodes[i]
		if !n.up {
			return nil
		}
		n.replica.Tick(n.local())
		return n.settle()
	})
}

// post sends messages, of which some are lost, doubled or late.
func (w *world) post(n *node, all []message.Message) {
	for _, m := range all {
		if m.Kind == message.Chunk {
			d, last, err := n.storage.Part(m.Index, m.Offset)
			if err != nil {
				continue
			}
			m.Data, m.Last = d[:min(len(d), partBytes)], last && len(d) <= partBytes
		}
		copies := 1
		if !w.calm {
			copies = []int{0, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 1, 2}[w.random.IntN(13)]
		}
		for range copies {
			d := w.latency() + w.late[n.number()][int(m.To.Host[0]-'a')]
			w.after(d, func() error { return w.deliver(n.number(), m) })
		}
	}
}

func (w *world) deliver(from int, m message.Message) error {
	to := int(m.To.Host[0] - 'a')
	n := w.nodes[to]
	if w.blocked[from][to] || !n.up {
		return nil
	}
	n.replica.Step(n.local(), m)
	return n.settle()
}
