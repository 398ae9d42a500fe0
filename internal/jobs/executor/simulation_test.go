package executor

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

// replica is a ledger that applies the committed log.
type replica struct {
	ledger  *ledger.Ledger
	disk    *disk
	applied int
	saved   []byte
	savedAt int
}

// itemRef identifies an item.
type itemRef struct {
	job   string
	index int
}

type event struct {
	at  time.Duration
	seq int
	f   func()
}

// simulation is a replicated log without consensus, with lossy calls to its leader, hosts and callers, in virtual
// time.
type simulation struct {
	random    *rand.Rand
	now       time.Duration
	seq       int
	events    []event
	log       [][]byte
	answers   map[int][]byte
	replicas  []*replica
	leader    int
	term      uint64
	skew      time.Duration
	faultFree bool
	finished  bool
	// whole makes the upstream one that runs items whole.
	whole bool
	// preempted counts the runs that stopped for online calls.
	preempted  int
	hosts      []*fakeHost
	dispatches map[itemRef]int
	cancelled  map[string]bool
	results    map[itemRef][]byte
	accepted   map[string]string
	err        error
}

var epoch = time.Unix(1_800_000_000, 0)

func newSimulation(seed uint64) *simulation {
	w := &simulation{
		random:     rand.New(rand.NewPCG(seed, 1)),
		answers:    map[int][]byte{},
		dispatches: map[itemRef]int{},
		cancelled:  map[string]bool{},
		results:    map[itemRef][]byte{},
		accepted:   map[string]string{},
		term:       1,
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

func (w *simulation) time() time.Time { return epoch.Add(w.now) }

func (w *simulation) fail(format string, args ...any) {
	if w.err == nil {
		w.err = errors.Newf("at %v: %s", w.now, fmt.Sprintf(format, args...))
	}
}

func (w *simulation) chance(percent int) bool {
	return !w.faultFree && w.random.IntN(100) < percent
}

func (w *simulation) after(d time.Duration, f func()) {
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

func (w *simulation) run(until time.Duration) {
	for len(w.events) > 0 && w.events[0].at <= until && w.err == nil && !w.finished {
		e := w.events[0]
		w.events = w.events[1:]
		w.now = e.at
		e.f()
	}
}

// call sends a command to the leader. The request and the answer may be lost, delayed or duplicated.
func (w *simulation) call(c *entry.Command, done func(*entry.Answer, error)) {
	finished := false
	finish := func(a *entry.Answer, err error) {
		if !finished {
			finished = true
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

func (w *simulation) delay() time.Duration {
	if w.chance(3) {
		return time.Duration(w.random.IntN(6000)) * time.Millisecond
	}
	return time.Duration(1+w.random.IntN(20)) * time.Millisecond
}

// propose adds the term and time to a command, commits it and applies it at the leader. Every other leader has items leased by
// deadline.
func (w *simulation) propose(c *entry.Command) *entry.Answer {
	s := proto.Clone(c).(*entry.Command)
	s.Term = w.term
	s.Now = w.time().Add(w.skew).UnixNano()
	for _, x := range s.GetTake().GetWants() {
		if w.term%2 == 0 {
			x.CompletionNanoseconds = int64(time.Second)
			x.Starts = uint64(len(w.log))
		}
	}
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

// catchUp applies the log up to an entry. All replicas must give the same answers.
func (w *simulation) catchUp(r *replica, to int) {
	for r.applied < to {
		r.applied++
		b := r.ledger.Apply(uint64(r.applied), w.log[r.applied-1])
		if o, ok := w.answers[r.applied]; ok && !sameAnswer(o, b) {
			w.fail("entry %d has different answers on two replicas: %x and %x", r.applied, o, b)
		}
		w.answers[r.applied] = b
	}
}

// sameAnswer compares decoded answers, since the order of encoded map entries may differ.
func sameAnswer(a, b []byte) bool {
	x, y := &entry.Answer{}, &entry.Answer{}
	return proto.Unmarshal(a, x) == nil && proto.Unmarshal(b, y) == nil && proto.Equal(x, y)
}

// injectFaults moves the leadership, saves, crashes and restores replicas, partitions and crashes hosts, and checks
// all invariants.
func (w *simulation) injectFaults() {
	if w.chance(20) {
		w.elect()
	}
	r := w.replicas[w.random.IntN(3)]
	switch {
	case w.chance(25):
		w.saveReplica(r)
	case w.chance(25):
		w.crashReplica(r)
	case w.chance(10):
		w.installSnapshot(r)
	}
	if w.chance(4) {
		w.hosts[w.random.IntN(len(w.hosts))].partitionedUntil = w.now + partitionDuration
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
		if err := h.scheduler.check(); err != nil {
			w.fail("check: %v", err)
		}
	}
	w.checkResults()
	w.finished = w.faultFree && w.allEnded()
	w.after(100*time.Millisecond, w.injectFaults)
}

func (w *simulation) elect() {
	w.leader = w.random.IntN(3)
	w.term++
	w.skew = time.Duration(w.random.IntN(8000)-4000) * time.Millisecond
	w.catchUp(w.replicas[w.leader], len(w.log))
}

func (w *simulation) saveReplica(r *replica) {
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

// crashReplica discards a replica's memory and a part of its unsynced bytes.
func (w *simulation) crashReplica(r *replica) {
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

// installSnapshot restores a replica from the leader's snapshot.
func (w *simulation) installSnapshot(r *replica) {
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

// checkResults checks on random replicas that results that were readable before have not changed.
func (w *simulation) checkResults() {
	for _, k := range slices.Sorted(maps.Keys(w.accepted)) {
		id := w.accepted[k]
		r := w.replicas[w.random.IntN(len(w.replicas))]
		j, err := r.ledger.Job(id)
		if err != nil {
			continue
		}
		for i := range int(j.Total) {
			w.checkResult(r, itemRef{id, i})
		}
	}
}

// allEnded reports whether all jobs were accepted and have ended.
func (w *simulation) allEnded() bool {
	for _, id := range w.accepted {
		j, err := w.replicas[w.leader].ledger.Job(id)
		if err != nil || j.Finished == 0 {
			return false
		}
	}
	return len(w.accepted) == jobCount
}

func (w *simulation) checkResult(r *replica, k itemRef) {
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
	if o, ok := w.results[k]; ok && !bytes.Equal(o, b) {
		w.fail("result %v changed from %q to %q", k, o, b)
	}
	w.results[k] = b
}

// recordDispatch records that an item is sent, and fails for an item of a cancelled job and for a second dispatch of
// one that may not be repeated.
func (w *simulation) recordDispatch(t *task) {
	k := itemRef{t.item.Job, t.item.Index}
	if w.cancelled[k.job] {
		w.fail("item %v was sent after the cancel was acknowledged", k)
	}
	if t.item.Repeatable {
		return
	}
	w.dispatches[k]++
	if w.dispatches[k] > 1 {
		w.fail("item %v, which may not be repeated, was sent again", k)
	}
}

// recordCancelled records that a cancel was acknowledged and checks that no host runs an item of the job.
func (w *simulation) recordCancelled(id string) {
	w.cancelled[id] = true
	for _, h := range w.hosts {
		for _, t := range h.scheduler.startedNewestFirst() {
			if t.item.Job == id && t.stop != nil && !t.stopping {
				w.fail("item %d of job %s still runs after the cancel was acknowledged", t.item.Index, id)
			}
		}
	}
}
