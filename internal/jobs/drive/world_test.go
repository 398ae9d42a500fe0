package drive

import (
	"bytes"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
	"siskinrun/internal/jobs/ledger"
)

// replica applies the committed log.
type replica struct {
	ledger  *ledger.Ledger
	disk    *disk
	applied int
	saved   []byte
	savedAt int
}

// place of an item in the world.
type ref struct {
	job   string
	index int
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}

// world is a replicated log without consensus, lossy calls to its leader, hosts and callers.
type world struct {
	random   *rand.Rand
	now      time.Duration
	seq      int
	events   []event
	log      [][]byte
	answers  map[int][]byte
	replicas []*replica
	leader   int
	term     uint64
	skew     time.Duration
	calm     bool
	quiet    bool
	hosts    []*fakeHost
	once     map[ref]int
	stopped  map[string]bool
	seen     map[ref][]byte
	accepted map[string]string
	err      error
}

var epoch = time.Unix(1_800_000_000, 0)

func newWorld(seed uint64) *world {
	w := &world{
		random:   rand.New(rand.NewPCG(seed, 1)),
		answers:  map[int][]byte{},
		once:     map[ref]int{},
		stopped:  map[string]bool{},
		seen:     map[ref][]byte{},
		accepted: map[string]string{},
		term:     1,
	}
	for range 3 {
		d := newDisk()
		w.replicas = append(w.replicas, &replica{ledger: ledger.NewLedger(d), disk: d})
	}
	for i := range 3 {
		w.hosts = append(w.hosts, newFakeHost(w, i))
	}
	return w
}

func (w *world) time() time.Time { return epoch.Add(w.now) }

func (w *world) fail(format string, args ...any) {
	if w.err == nil {
		w.err = errors.Newf("at %v: %s", w.now, fmt.Sprintf(format, args...))
	}
}

func (w *world) chance(percent int) bool {
	return !w.calm && w.random.IntN(100) < percent
}

func (w *world) after(d time.Duration, f func()) {
	w.seq++
	e := event{at: w.now + d, seq: w.seq, f: f}
	i, _ := slices.BinarySearchFunc(w.events, e, func(a, b event) int {
		if a.at != b.at {
			return int(a.at - b.at)
		}
		return a.seq - b.seq
	})
	w.events = slices.Insert(w.events, i, e)
}

func (w *world) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until && w.err == nil && !w.quiet {
		e := w.events[0]
		w.events = w.events[1:]
		w.now = e.at
		e.f()
	}
}

// call sends a command to the leader; the question, the answer or both may be lost, late or doubled.
func (w *world) call(c *entry.Command, done func(*entry.Answer, error)) {
	over := false
	finish := func(a *entry.Answer, err error) {
		if !over {
			over = true
			done(a, err)
		}
	}
	w.after(callTimeout, func() { finish(nil, errors.New("timeout")) })
	copies := 1
	if w.chance(8) {
		copies = 2
	}
	for range copies {
		if w.chance(8) {
			continue
		}
		w.after(w.delay(), func() {
			a := w.propose(c)
			if w.chance(8) {
				return
			}
			w.after(w.delay(), func() { finish(a, nil) })
		})
	}
}

func (w *world) delay() time.Duration {
	if w.chance(3) {
		return time.Duration(w.random.IntN(6000)) * time.Millisecond
	}
	return time.Duration(1+w.random.IntN(20)) * time.Millisecond
}

// propose stamps, commits and applies a command at the leader.
func (w *world) propose(c *entry.Command) *entry.Answer {
	s := proto.Clone(c).(*entry.Command)
	s.Term = w.term
	s.Now = w.time().Add(w.skew).UnixNano()
	b, err := proto.Marshal(s)
	if err != nil {
		w.fail("marshal: %v", err)
	}
	w.log = append(w.log, b)
	w.catchUp(w.replicas[w.leader], len(w.log))
	a := &entry.Answer{}
	if err := proto.Unmarshal(w.answers[len(w.log)], a); err != nil {
		w.fail("answer: %v", err)
	}
	return a
}

// catchUp applies the log; all replicas must answer alike.
func (w *world) catchUp(r *replica, to int) {
	for r.applied < to {
		r.applied++
		b := r.ledger.Apply(uint64(r.applied), w.log[r.applied-1])
		if o, ok := w.answers[r.applied]; ok && !same(o, b) {
			w.fail("entry %d was answered differently: %x and %x", r.applied, o, b)
		}
		w.answers[r.applied] = b
	}
}

// same compares answers as messages, since the order of map entries may differ.
func same(a, b []byte) bool {
	x, y := &entry.Answer{}, &entry.Answer{}
	return proto.Unmarshal(a, x) == nil && proto.Unmarshal(b, y) == nil && proto.Equal(x, y)
}

// disturb crashes, saves and moves leadership.
func (w *world) disturb() {
	if w.chance(20) {
		w.elect()
	}
	r := w.replicas[w.random.IntN(3)]
	switch {
	case w.chance(25):
		w.save(r)
	case w.chance(25):
		w.crash(r)
	case w.chance(10):
		w.install(r)
	}
	if w.chance(4) {
		w.hosts[w.random.IntN(len(w.hosts))].cutUntil = w.now + cutLength
	}
	if w.chance(8) {
		i := w.random.IntN(len(w.hosts))
		w.hosts[i].crash()
		w.hosts[i] = newFakeHost(w, i)
		w.hosts[i].tick()
	}
	for _, x := range w.replicas {
		w.catchUp(x, x.applied+w.random.IntN(len(w.log)-x.applied+1))
		if err := x.ledger.Check(); err != nil {
			w.fail("check: %v", err)
		}
	}
	for _, h := range w.hosts {
		if err := h.plan.check(); err != nil {
			w.fail("check: %v", err)
		}
	}
	w.read()
	w.quiet = w.calm && w.over()
	w.after(100*time.Millisecond, w.disturb)
}

func (w *world) elect() {
	w.leader = w.random.IntN(3)
	w.term++
	w.skew = time.Duration(w.random.IntN(8000)-4000) * time.Millisecond
	w.catchUp(w.replicas[w.leader], len(w.log))
}

func (w *world) save(r *replica) {
	b := &bytes.Buffer{}
	f := r.ledger.Checkpoint
	if w.chance(50) {
		f = r.ledger.Snapshot
	}
	if err := f(b); err != nil {
		w.fail("save: %v", err)
	}
	r.saved = b.Bytes()
	r.savedAt = r.applied
}

// crash loses a replica's memory and a part of its unsynced bytes.
func (w *world) crash(r *replica) {
	r.disk.crash(w.random)
	r.ledger = ledger.NewLedger(r.disk)
	r.applied = r.savedAt
	if r.saved != nil {
		if err := r.ledger.Restore(bytes.NewReader(r.saved)); err != nil {
			w.fail("restore: %v", err)
		}
	}
	if r == w.replicas[w.leader] {
		w.elect()
	}
}

// install brings a replica up by the leader's snapshot.
func (w *world) install(r *replica) {
	l := w.replicas[w.leader]
	b := &bytes.Buffer{}
	if err := l.ledger.Snapshot(b); err != nil {
		w.fail("snapshot: %v", err)
	}
	r.saved = slices.Clone(b.Bytes())
	r.savedAt = l.applied
	r.applied = l.applied
	if err := r.ledger.Restore(b); err != nil {
		w.fail("install: %v", err)
	}
}

// read checks that results which were readable once have not changed on any replica.
func (w *world) read() {
	for _, k := range slices.Sorted(maps.Keys(w.accepted)) {
		id := w.accepted[k]
		r := w.replicas[w.random.IntN(len(w.replicas))]
		j, err := r.ledger.Job(id)
		if err != nil {
			continue
		}
		for i := range int(j.Total) {
			w.readOne(r, ref{id, i})
		}
	}
}

// over reports whether all jobs have ended.
func (w *world) over() bool {
	for _, id := range w.accepted {
		j, err := w.replicas[w.leader].ledger.Job(id)
		if err != nil || j.Finished == 0 {
			return false
		}
	}
	return len(w.accepted) == keys
}

func (w *world) readOne(r *replica, k ref) {
	_, x, err := r.ledger.Result(k.job, k.index)
	if err != nil {
		w.fail("result %v: %v", k, err)
		return
	}
	if x == nil {
		return
	}
	b, err := proto.Marshal(x)
	if err != nil {
		w.fail("marshal: %v", err)
	}
	if o, ok := w.seen[k]; ok && !bytes.Equal(o, b) {
		w.fail("result %v changed from %q to %q", k, o, b)
	}
	w.seen[k] = b
}

// dispatch notes the first byte of an item.
func (w *world) dispatch(t *task) {
	k := ref{t.item.Job, t.item.Index}
	if w.stopped[k.job] {
		w.fail("item %v starts after the cancel was acknowledged", k)
	}
	if t.item.Repeatable {
		return
	}
	w.once[k]++
	if w.once[k] > 1 {
		w.fail("item %v, which may not be repeated, starts again", k)
	}
}

// stop notes that a cancel was acknowledged; no host may be running an item of the job.
func (w *world) stop(id string) {
	w.stopped[id] = true
	for _, h := range w.hosts {
		for _, t := range h.plan.newestFirst() {
			if t.item.Job == id && t.stop != nil && !t.stopping {
				w.fail("item %d of %s still runs when the cancel is acknowledged", t.item.Index, id)
			}
		}
	}
}
