package ledger

import (
	"bytes"
	"encoding/binary"
	"io"
	"maps"
	"slices"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/encoding/protodelim"

	"siskinrun/internal/jobs/entry"
)

const (
	// savedFormat is the version of the saved form.
	savedFormat = 1
	// blobBytes is the size of the parts in which contents are saved.
	blobBytes = 256 << 10
	// slotBytes is the saved size of an item.
	slotBytes = 16
	// offsetBytes is the saved size of the start of a line.
	offsetBytes = 8
)

// content is a stored file as it was when the ledger was saved.
type content struct {
	name   string
	size   int64
	reader io.ReadCloser
}

// Snapshot implements machine.Machine.Snapshot, with the contents of all stored files.
func (l *Ledger) Snapshot(w io.Writer) error {
	return l.save(w, true)
}

// Checkpoint writes the state without the contents, which it makes durable in place.
func (l *Ledger) Checkpoint(w io.Writer) error {
	return l.save(w, false)
}

func (l *Ledger) save(w io.Writer, whole bool) error {
	b, s, err := l.freeze(whole)
	defer func() {
		for _, c := range s {
			_ = c.reader.Close()
		}
	}()
	if err != nil {
		return err
	}
	if _, err := w.Write(b); err != nil {
		return err
	}
	for _, c := range s {
		if err := c.save(w); err != nil {
			return errors.Wrapf(err, "save %s", c.name)
		}
	}
	return put(w, &entry.Saved{Part: &entry.Saved_End{End: &entry.End{}}})
}

// freeze encodes the state and opens the contents that belong to it.
func (l *Ledger) freeze(whole bool) ([]byte, []content, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.Storage.Sync(); err != nil {
		return nil, nil, err
	}
	b := &bytes.Buffer{}
	for _, s := range l.parts(whole) {
		if err := put(b, s); err != nil {
			return nil, nil, err
		}
	}
	if !whole {
		return b.Bytes(), nil, nil
	}
	c, err := l.contents()
	return b.Bytes(), c, err
}

func (l *Ledger) contents() ([]content, error) {
	var s []content
	for n, size := range l.sizes() {
		r, err := l.Storage.Open(n)
		if err != nil {
			return s, err
		}
		s = append(s, content{name: n, size: size, reader: r})
	}
	return s, nil
}

// sizes returns the stored files with their sizes.
func (l *Ledger) sizes() map[string]int64 {
	m := map[string]int64{}
	for _, f := range l.files {
		m[f.name()] = f.facts.Bytes
	}
	for _, w := range l.jobs {
		m[w.name()] = w.facts.ResultBytes
	}
	return m
}

func (c content) save(w io.Writer) error {
	b := make([]byte, min(c.size, blobBytes))
	for n := c.size; n > 0; {
		k := min(n, blobBytes)
		if _, err := io.ReadFull(c.reader, b[:k]); err != nil {
			return err
		}
		p := &entry.Blob{Name: c.name, Data: b[:k]}
		if err := put(w, &entry.Saved{Part: &entry.Saved_Blob{Blob: p}}); err != nil {
			return err
		}
		n -= k
	}
	return nil
}

func put(w io.Writer, s *entry.Saved) error {
	_, err := protodelim.MarshalTo(w, s)
	return err
}

// parts lists the state in a form in which each part refers only to earlier ones.
func (l *Ledger) parts(whole bool) []*entry.Saved {
	h := &entry.Head{Format: savedFormat, Index: l.index, Term: l.term, Now: l.now, Fence: l.fence, Whole: whole}
	p := []*entry.Saved{{Part: &entry.Saved_Head{Head: h}}}
	for _, id := range slices.Sorted(maps.Keys(l.files)) {
		p = append(p, &entry.Saved{Part: &entry.Saved_File{File: l.files[id].saved()}})
	}
	for _, t := range slices.Sorted(maps.Keys(l.owned)) {
		for _, id := range l.owned[t] {
			p = append(p, &entry.Saved{Part: &entry.Saved_Job{Job: l.jobs[id].saved()}})
		}
	}
	p = append(p, l.savedQueues()...)
	p = append(p, l.savedLeases()...)
	for _, k := range slices.SortedFunc(maps.Keys(l.keys), owner.compare) {
		p = append(p, &entry.Saved{Part: &entry.Saved_Key{Key: l.keys[k]}})
	}
	for _, r := range l.records.All() {
		p = append(p, &entry.Saved{Part: &entry.Saved_Record{Record: r}})
	}
	return p
}

func (f *file) saved() *entry.File {
	s := view(f)
	s.Offsets = make([]byte, 0, offsetBytes*len(f.starts))
	for _, o := range f.starts {
		s.Offsets = binary.LittleEndian.AppendUint64(s.Offsets, uint64(o))
	}
	return s
}

func (w *work) saved() *entry.Job {
	j := w.view()
	j.Returned = w.returned
	w.inline.save(j)
	j.Slots = make([]byte, 0, slotBytes*len(w.slots))
	for _, s := range w.slots {
		j.Slots = binary.LittleEndian.AppendUint64(j.Slots, uint64(s.offset))
		j.Slots = binary.LittleEndian.AppendUint32(j.Slots, s.length)
		j.Slots = append(j.Slots, s.state, s.attempts, s.lapses, s.sent)
	}
	return j
}

func (l *Ledger) savedQueues() []*entry.Saved {
	var p []*entry.Saved
	for _, t := range slices.Sorted(maps.Keys(l.queues)) {
		for _, n := range l.queues[t].lines {
			q := &entry.Queued{Target: t, Team: n.team}
			for _, w := range n.jobs {
				if w.facts.State == jobRunning {
					q.Jobs = append(q.Jobs, w.facts.Id)
				}
			}
			p = append(p, &entry.Saved{Part: &entry.Saved_Queued{Queued: q}})
		}
	}
	for _, d := range l.deferred {
		if l.jobs[d.work.facts.Id] == nil {
			continue
		}
		e := &entry.Deferred{Job: d.work.facts.Id, Index: d.index, At: d.at}
		p = append(p, &entry.Saved{Part: &entry.Saved_Deferred{Deferred: e}})
	}
	return p
}

func (l *Ledger) savedLeases() []*entry.Saved {
	var p []*entry.Saved
	for _, h := range slices.Sorted(maps.Keys(l.sessions)) {
		s := l.sessions[h]
		e := &entry.Session{
			Holder:           h,
			Sequence:         s.sequence,
			Deadline:         s.deadline,
			LeaseNanoseconds: s.length,
			Last:             s.last,
		}
		p = append(p, &entry.Saved{Part: &entry.Saved_Session{Session: e}})
	}
	for _, f := range slices.Sorted(maps.Keys(l.leases)) {
		e := l.leases[f]
		s := &entry.Leased{
			Job:      e.work.facts.Id,
			Index:    e.index,
			Fence:    f,
			Holder:   e.session.holder,
			Intended: e.intended,
		}
		p = append(p, &entry.Saved{Part: &entry.Saved_Leased{Leased: s}})
	}
	return p
}
