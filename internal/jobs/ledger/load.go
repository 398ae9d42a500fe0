package ledger

import (
	"bufio"
	"encoding/binary"
	"io"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"siskinrun/internal/jobs/entry"
)

const (
	readBytes = 64 << 10
	// maxPartBytes is the most bytes of one part of a saved ledger.
	maxPartBytes = 32 << 20
)

var errDamaged = errors.New("the saved ledger is damaged")

// loader reads a saved ledger into an empty one.
type loader struct {
	ledger *Ledger
	head   *entry.Head
	blobs  map[string]int64
	ended  bool
}

// Restore implements machine.Machine.Restore; it takes what Snapshot or Checkpoint wrote.
func (l *Ledger) Restore(r io.Reader) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
	d := &loader{ledger: l, blobs: map[string]int64{}}
	if err := d.read(r); err != nil {
		l.reset()
		return errors.Wrap(err, "restore ledger")
	}
	return nil
}

func (d *loader) read(r io.Reader) error {
	b := bufio.NewReaderSize(r, readBytes)
	o := protodelim.UnmarshalOptions{MaxSize: maxPartBytes}
	for !d.ended {
		s := &entry.Saved{}
		if err := o.UnmarshalFrom(b, s); err != nil {
			return err
		}
		if err := d.add(s); err != nil {
			return err
		}
	}
	if err := d.settle(); err != nil {
		return err
	}
	return d.ledger.Check()
}

func (d *loader) add(s *entry.Saved) error {
	h, first := s.Part.(*entry.Saved_Head)
	if first != (d.head == nil) {
		return errDamaged
	}
	if first {
		return d.open(h.Head)
	}
	l := d.ledger
	switch p := s.Part.(type) {
	case *entry.Saved_File:
		return l.loadFile(p.File)
	case *entry.Saved_Job:
		return l.loadJob(p.Job)
	case *entry.Saved_Queued:
		return l.loadQueued(p.Queued)
	case *entry.Saved_Deferred:
		return l.loadDeferred(p.Deferred)
	case *entry.Saved_Session:
		return l.loadSession(p.Session)
	case *entry.Saved_Leased:
		return l.loadLeased(p.Leased)
	case *entry.Saved_Key:
		l.keys[owner{p.Key.Team, p.Key.Key}] = p.Key
	case *entry.Saved_Record:
		l.records.Put(p.Record)
	case *entry.Saved_Blob:
		return d.blob(p.Blob)
	case *entry.Saved_End:
		d.ended = true
	default:
		return errDamaged
	}
	return nil
}

func (d *loader) open(h *entry.Head) error {
	if h.Format != savedFormat {
		return errors.Newf("saved ledgers of format %d cannot be read", h.Format)
	}
	d.head = h
	l := d.ledger
	l.index = h.Index
	l.term = h.Term
	l.now = h.Now
	l.fence = h.Fence
	return nil
}

func (d *loader) blob(b *entry.Blob) error {
	s := d.ledger.Storage
	if _, ok := d.ledger.sizeOf(b.Name); !ok || !d.head.Whole {
		return errDamaged
	}
	if d.blobs[b.Name] == 0 {
		if err := s.Create(b.Name); err != nil {
			return err
		}
	}
	d.blobs[b.Name] += int64(len(b.Data))
	return s.Append(b.Name, b.Data)
}

// settle makes the stored files those of the loaded state.
func (d *loader) settle() error {
	s := d.ledger.Storage
	sizes := d.ledger.sizes()
	for n, size := range sizes {
		if d.head.Whole && d.blobs[n] != size {
			return errDamaged
		}
		if d.head.Whole && size == 0 {
			if err := s.Create(n); err != nil {
				return err
			}
		}
		if err := s.Cut(n, size); err != nil {
			return err
		}
	}
	names, err := s.Names()
	if err != nil {
		return err
	}
	for _, n := range names {
		if _, ok := sizes[n]; ok {
			continue
		}
		if err := s.Remove(n); err != nil {
			return err
		}
	}
	return nil
}

func (l *Ledger) sizeOf(name string) (int64, bool) {
	if f := l.files[trim(name, filePrefix)]; f != nil {
		return f.facts.Bytes, true
	}
	if w := l.jobs[trim(name, resultPrefix)]; w != nil {
		return w.facts.ResultBytes, true
	}
	return 0, false
}

func trim(name, prefix string) string {
	if len(name) < len(prefix) || name[:len(prefix)] != prefix {
		return ""
	}
	return name[len(prefix):]
}

func (l *Ledger) loadFile(s *entry.File) error {
	if s.Bytes < 0 || len(s.Offsets) != offsetBytes*int(s.Lines) || l.files[s.Id] != nil {
		return errDamaged
	}
	f := &file{facts: s, starts: make([]int64, s.Lines)}
	last := int64(-1)
	for i := range f.starts {
		o := int64(binary.LittleEndian.Uint64(s.Offsets[offsetBytes*i:]))
		if o <= last || o >= s.Bytes {
			return errDamaged
		}
		f.starts[i] = o
		last = o
	}
	s.Offsets = nil
	s.Uses = 0
	l.files[s.Id] = f
	l.use(s.Team, s.Bytes)
	return nil
}

func (l *Ledger) loadJob(j *entry.Job) error {
	f := l.files[j.File]
	if f == nil || j.Total != f.facts.Lines || j.Next > j.Total || j.State > jobExpired {
		return errDamaged
	}
	if len(j.Slots) != slotBytes*int(j.Total) || l.jobs[j.Id] != nil || j.ResultBytes < 0 {
		return errDamaged
	}
	w := &work{facts: j, file: f, slots: make([]slot, j.Total), returned: j.Returned}
	for _, i := range j.Returned {
		if i >= j.Total {
			return errDamaged
		}
	}
	for i := range w.slots {
		w.slots[i] = loadSlot(j.Slots[slotBytes*i:])
	}
	if err := l.loadInline(w); err != nil {
		return err
	}
	j.Slots = nil
	j.Returned = nil
	j.Leased = 0
	f.facts.Uses++
	l.jobs[j.Id] = w
	l.owned[j.Team] = append(l.owned[j.Team], j.Id)
	l.use(j.Team, j.ResultBytes)
	return nil
}

func loadSlot(b []byte) slot {
	return slot{
		offset:   int64(binary.LittleEndian.Uint64(b)),
		length:   binary.LittleEndian.Uint32(b[8:]),
		state:    b[12],
		attempts: b[13],
		lapses:   b[14],
		sent:     b[15],
	}
}

func (l *Ledger) loadQueued(q *entry.Queued) error {
	t := l.queues[q.Target]
	if t == nil {
		t = &queue{}
		l.queues[q.Target] = t
	}
	n := t.line(q.Team)
	for _, id := range q.Jobs {
		w := l.jobs[id]
		if w == nil || w.queued {
			return errDamaged
		}
		w.queued = true
		n.jobs = append(n.jobs, w)
	}
	return nil
}

func (l *Ledger) loadDeferred(d *entry.Deferred) error {
	w := l.jobs[d.Job]
	if w == nil || d.Index >= w.facts.Total {
		return errDamaged
	}
	l.deferred = append(l.deferred, deferral{work: w, index: d.Index, at: d.At})
	return nil
}

func (l *Ledger) loadSession(e *entry.Session) error {
	if l.sessions[e.Holder] != nil {
		return errDamaged
	}
	s := l.session(e.Holder)
	s.sequence = e.Sequence
	s.deadline = e.Deadline
	s.length = e.LeaseNanoseconds
	s.last = e.Last
	return nil
}

func (l *Ledger) loadLeased(s *entry.Leased) error {
	w := l.jobs[s.Job]
	h := l.sessions[s.Holder]
	if w == nil || h == nil || s.Index >= w.facts.Total || l.leases[s.Fence] != nil {
		return errDamaged
	}
	l.hold(&lease{work: w, index: s.Index, fence: s.Fence, session: h, intended: s.Intended})
	w.facts.Leased++
	return nil
}
