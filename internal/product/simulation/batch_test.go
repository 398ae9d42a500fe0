package simulation

import (
	"bytes"
	"fmt"
	"io"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"siskinrun/internal/jobs/entry"
	"siskinrun/internal/jobs/ledger"
	"siskinrun/pkg/verdict"
)

const (
	jobItems      = 30
	itemAttempts  = 2
	ledgerTimeout = 800 * time.Millisecond
)

// memoryDisk is the in-memory storage of the simulated ledger replica.
type memoryDisk struct{ files map[string][]byte }

func (d *memoryDisk) Create(n string) error { d.files[n] = nil; return nil }
func (d *memoryDisk) Remove(n string) error { delete(d.files, n); return nil }
func (d *memoryDisk) Sync() error           { return nil }
func (d *memoryDisk) Append(n string, b []byte) error {
	d.files[n] = append(d.files[n], b...)
	return nil
}

func (d *memoryDisk) Names() ([]string, error) {
	var l []string
	for n := range d.files {
		l = append(l, n)
	}
	return l, nil
}

func (d *memoryDisk) ReadAt(n string, b []byte, o int64) error {
	if o+int64(len(b)) > int64(len(d.files[n])) {
		return io.ErrUnexpectedEOF
	}
	copy(b, d.files[n][o:])
	return nil
}

func (d *memoryDisk) Open(n string) (io.ReadCloser, error) {
	return io.NopCloser(bytes.NewReader(bytes.Clone(d.files[n]))), nil
}

func (d *memoryDisk) Truncate(n string, size int64) error {
	if int64(len(d.files[n])) < size {
		return io.ErrUnexpectedEOF
	}
	d.files[n] = d.files[n][:size:size]
	return nil
}

// itemID identifies an item by its job and its index there.
type itemID struct {
	job   string
	index uint32
}

func (p itemID) object() string { return fmt.Sprint(p.job, "/", p.index) }

// fakeLedger is the ledger as its leader runs it, with the checker's record of the items.
type fakeLedger struct {
	w      *simulation
	ledger *ledger.Ledger
	index  uint64
	term   uint64
	skew   time.Duration
	// jobs tells for each job whether its items may be repeated.
	jobs      map[string]bool
	received  map[itemID]int
	completed map[itemID]int
	results   map[itemID][]byte
}

func newFakeLedger(w *simulation) *fakeLedger {
	b := &fakeLedger{
		w: w, term: 1, jobs: map[string]bool{}, received: map[itemID]int{}, completed: map[itemID]int{},
		results: map[itemID][]byte{}, ledger: ledger.NewLedger(&memoryDisk{map[string][]byte{}}),
	}
	if w.excluded[items] {
		return b
	}
	for i := range 4 {
		b.submit(fmt.Sprint("job-", i), i%2 == 0)
	}
	return b
}

// submit stores a file and submits it as a job.
func (b *fakeLedger) submit(id string, repeatable bool) {
	f := "file-" + id
	d := bytes.Repeat([]byte("good\n"), jobItems)
	b.propose(&entry.Command{Kind: &entry.Command_Begin{Begin: &entry.Begin{File: f, Team: "kea"}}})
	b.propose(&entry.Command{Kind: &entry.Command_Chunk{Chunk: &entry.Chunk{File: f, Data: d}}})
	b.propose(&entry.Command{Kind: &entry.Command_Seal{Seal: &entry.Seal{File: f, Bytes: int64(len(d))}}})
	a := b.propose(&entry.Command{Kind: &entry.Command_Accept{Accept: &entry.Accept{
		Job: id, Team: "kea", File: f, Target: "m", Repeatable: repeatable,
		WindowNanoseconds: int64(time.Hour), KeepNanoseconds: int64(time.Hour),
		Attempts: itemAttempts,
	}}})
	if a.Job.GetId() != id {
		b.w.fail(id, "the ledger did not accept the job: %v", a)
	}
	b.jobs[id] = repeatable
}

func (b *fakeLedger) propose(c *entry.Command) *entry.Answer {
	s := proto.Clone(c).(*entry.Command)
	s.Term = b.term
	s.Now = b.w.now.Add(b.skew).UnixNano()
	d, err := proto.Marshal(s)
	b.w.check("ledger", err)
	b.index++
	a := &entry.Answer{}
	b.w.check("ledger", proto.Unmarshal(b.ledger.Apply(b.index, d), a))
	return a
}

// call delivers a command of a host to the ledger. The network may lose, delay or duplicate the command and its answer.
func (b *fakeLedger) call(h *host, c *entry.Command, done func(*entry.Answer)) {
	w := b.w
	over := false
	finish := func(a *entry.Answer) {
		if !over {
			over = true
			done(a)
		}
	}
	h.after(ledgerTimeout, func() { finish(nil) })
	copies := 1
	if w.chance(messageFaults, 8) {
		copies = 2
	}
	for range copies {
		if h.partitioned || w.lost() {
			continue
		}
		w.after(w.delay(), func() {
			a := b.propose(c)
			if h.partitioned || w.lost() {
				return
			}
			h.after(w.delay(), func() { finish(a) })
		})
	}
}

// disturb moves the ledger to another leader with a clock of its own, by a snapshot, and now and then checks the ledger.
func (b *fakeLedger) disturb() {
	w := b.w
	r := w.randoms[leaderChanges]
	if w.chance(leaderChanges, 4) {
		b.term++
		b.skew = time.Duration(r.IntN(8000)-4000) * time.Millisecond
		s := &bytes.Buffer{}
		w.check("ledger", b.ledger.Snapshot(s))
		b.ledger = ledger.NewLedger(&memoryDisk{map[string][]byte{}})
		w.check("ledger", b.ledger.Restore(s))
		w.logEvent("fleet", "the ledger has a leader of term %d, clock off by %v", b.term, b.skew)
	}
	if w.chance(leaderChanges, 20) {
		b.check()
	}
}

// check verifies the invariants of the ledger and that no recorded result has changed.
func (b *fakeLedger) check() {
	b.w.check("ledger", b.ledger.Check())
	for id := range b.jobs {
		for i := range jobItems {
			p := itemID{id, uint32(i)}
			_, x, err := b.ledger.Result(id, i)
			b.w.check(p.object(), err)
			if x != nil {
				b.checkResult(p, x)
			}
		}
	}
}

func (b *fakeLedger) checkResult(p itemID, x *entry.Result) {
	d, err := proto.MarshalOptions{Deterministic: true}.Marshal(x)
	b.w.check(p.object(), err)
	if o, ok := b.results[p]; ok && !bytes.Equal(o, d) {
		b.w.fail(p.object(), "the result changed from %q to %q", o, d)
	}
	b.results[p] = d
	if x.Verdict == uint32(verdict.NotRun) && b.received[p] > 0 {
		b.recordWrongVerdict(p)
	}
}

// recordWrongVerdict records an item whose recorded verdict is wrong; a separate test fails on these.
func (b *fakeLedger) recordWrongVerdict(p itemID) {
	if !slices.Contains(b.w.wrongVerdicts, p.object()) {
		b.w.counts["wrong-verdicts"]++
		b.w.wrongVerdicts = append(b.w.wrongVerdicts, p.object())
	}
}

// recordReceived records that an upstream has received an item.
func (b *fakeLedger) recordReceived(p itemID) {
	b.received[p]++
	b.w.counts["items-received"]++
	b.w.logEvent(p.object(), "an upstream receives it")
	if b.received[p] > 1 && !b.jobs[p.job] {
		b.w.fail(p.object(), "received %d times although it may not be repeated", b.received[p])
	}
}

// recordCompleted records that the ledger accepted the completion of an item.
func (b *fakeLedger) recordCompleted(p itemID) {
	b.completed[p]++
	b.w.counts["items-completed"]++
	if b.completed[p] > 1 {
		b.w.fail(p.object(), "completed %d times", b.completed[p])
	}
}

func (b *fakeLedger) finish() {
	b.check()
}
