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
	readBufferBytes = 64 << 10
	// maxPartBytes is the maximum size of one part of a saved ledger.
	maxPartBytes = 32 << 20
)

var errCorrupt = errors.New("the saved ledger is corrupt")

// loader reads a saved ledger into an empty one.
type loader struct {
	ledger *Ledger
	header *entry.Head
	// blobBytes counts the loaded bytes of each stored file.
	blobBytes map[string]int64
	ended     bool
}

// Restore implements machine.Machine.Restore; it reads the output of Snapshot or Checkpoint.
func (l *Ledger) Restore(r io.Reader) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reset()
	d := &loader{ledger: l, blobBytes: map[string]int64{}}
	if err := d.read(r); err != nil {
		l.reset()
		return errors.Wrap(err, "restore ledger")
	}
	return nil
}

func (d *loader) read(r io.Reader) error {
	b := bufio.NewReaderSize(r, readBufferBytes)
	o := protodelim.UnmarshalOptions{MaxSize: maxPartBytes}
	for !d.ended {
		s := &entry.Saved{}
		if err := o.UnmarshalFrom(b, s); err != nil {
			return err
		}
		if err := d.addPart(s); err != nil {
			return err
		}
	}
	if err := d.reconcileStorage(); err != nil {
		return err
	}
	return d.ledger.Check()
}

func (d *loader) addPart(s *entry.Saved) error {
	h, first := s.Part.(*entry.Saved_Head)
	if first != (d.header == nil) {
		return errCorrupt
	}
	if first {
		return d.loadHeader(h.Head)
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
		l.keys[teamKey{p.Key.Team, p.Key.Key}] = p.Key
	case *entry.Saved_Record:
		l.records.Put(p.Record)
	case *entry.Saved_Blob:
		return d.loadBlob(p.Blob)
	case *entry.Saved_End:
		d.ended = true
	default:
		return errCorrupt
	}
	return nil
}

func (d *loader) loadHeader(h *entry.Head) error {
	if h.Format != savedFormat {
		return errors.Newf("unsupported format %d of a saved ledger", h.Format)
	}
	d.header = h
	l := d.ledger
	l.index = h.Index
	l.term = h.Term
	l.now = h.Now
	l.lastFence = h.Fence
	return nil
}

func (d *loader) loadBlob(b *entry.Blob) error {
	s := d.ledger.Storage
	if _, ok := d.ledger.storedSize(b.Name); !ok || !d.header.Whole {
		return errCorrupt
	}
	if d.blobBytes[b.Name] == 0 {
		if err := s.Create(b.Name); err != nil {
			return err
		}
	}
	d.blobBytes[b.Name] += int64(len(b.Data))
	return s.Append(b.Name, b.Data)
}

// reconcileStorage truncates stored files to the sizes in the loaded state and removes those that it does not list.
func (d *loader) reconcileStorage() error {
	s := d.ledger.Storage
	sizes := d.ledger.sizes()
	for n, size := range sizes {
		if d.header.Whole && d.blobBytes[n] != size {
			return errCorrupt
		}
		if d.header.Whole && size == 0 {
			if err := s.Create(n); err != nil {
				return err
			}
		}
		if err := s.Truncate(n, size); err != nil {
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

func (l *Ledger) storedSize(name string) (int64, bool) {
	if f := l.files[trimPrefix(name, filePrefix)]; f != nil {
		return f.info.Bytes, true
	}
	if w := l.jobs[trimPrefix(name, resultPrefix)]; w != nil {
		return w.info.ResultBytes, true
	}
	return 0, false
}

func trimPrefix(name, prefix string) string {
	if len(name) < len(prefix) || name[:len(prefix)] != prefix {
		return ""
	}
	return name[len(prefix):]
}

func (l *Ledger) loadFile(s *entry.File) error {
	if s.Bytes < 0 || len(s.Offsets) != offsetBytes*int(s.Lines) || l.files[s.Id] != nil {
		return errCorrupt
	}
	f := &file{info: s, lineStarts: make([]int64, s.Lines)}
	last := int64(-1)
	for i := range f.lineStarts {
		o := int64(binary.LittleEndian.Uint64(s.Offsets[offsetBytes*i:]))
		if o <= last || o >= s.Bytes {
			return errCorrupt
		}
		f.lineStarts[i] = o
		last = o
	}
	s.Offsets = nil
	s.Uses = 0
	l.files[s.Id] = f
	l.addStoredBytes(s.Team, s.Bytes)
	return nil
}

func (l *Ledger) loadJob(j *entry.Job) error {
	f := l.files[j.File]
	if f == nil || j.Total != f.info.Lines || j.Next > j.Total || j.State > jobExpired {
		return errCorrupt
	}
	if len(j.Slots) != itemBytes*int(j.Total) || l.jobs[j.Id] != nil || j.ResultBytes < 0 {
		return errCorrupt
	}
	w := &job{info: j, file: f, items: make([]item, j.Total), returned: j.Returned}
	for _, i := range j.Returned {
		if i >= j.Total {
			return errCorrupt
		}
	}
	for i := range w.items {
		w.items[i] = loadItem(j.Slots[itemBytes*i:])
	}
	if err := l.loadInline(w); err != nil {
		return err
	}
	j.Slots = nil
	j.Returned = nil
	j.Leased = 0
	f.info.Uses++
	l.jobs[j.Id] = w
	l.jobsByTeam[j.Team] = append(l.jobsByTeam[j.Team], j.Id)
	l.addStoredBytes(j.Team, j.ResultBytes)
	return nil
}

func loadItem(b []byte) item {
	return item{
		offset:   int64(binary.LittleEndian.Uint64(b)),
		length:   binary.LittleEndian.Uint32(b[8:]),
		state:    b[12],
		attempts: b[13],
		expiries: b[14],
		sent:     b[15],
	}
}

func (l *Ledger) loadQueued(q *entry.Queued) error {
	t := l.queues[q.Target]
	if t == nil {
		t = &queue{}
		l.queues[q.Target] = t
	}
	n := t.ensureTeam(q.Team)
	for _, id := range q.Jobs {
		w := l.jobs[id]
		if w == nil || w.queued {
			return errCorrupt
		}
		w.queued = true
		n.jobs = append(n.jobs, w)
	}
	return nil
}

func (l *Ledger) loadDeferred(d *entry.Deferred) error {
	w := l.jobs[d.Job]
	if w == nil || d.Index >= w.info.Total {
		return errCorrupt
	}
	l.deferred = append(l.deferred, deferredItem{job: w, index: d.Index, at: d.At})
	return nil
}

func (l *Ledger) loadSession(e *entry.Session) error {
	if l.sessions[e.Holder] != nil {
		return errCorrupt
	}
	s := l.ensureSession(e.Holder)
	s.sequence = e.Sequence
	s.deadline = e.Deadline
	s.leaseNanoseconds = e.LeaseNanoseconds
	s.lastFences = e.Last
	return nil
}

func (l *Ledger) loadLeased(s *entry.Leased) error {
	w := l.jobs[s.Job]
	h := l.sessions[s.Holder]
	if w == nil || h == nil || s.Index >= w.info.Total || l.leases[s.Fence] != nil {
		return errCorrupt
	}
	l.addLease(&lease{job: w, index: s.Index, fence: s.Fence, session: h, intended: s.Intended})
	w.info.Leased++
	return nil
}
