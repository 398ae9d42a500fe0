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
	// savedFormat is the format version of a saved ledger.
	savedFormat = 1
	// blobChunkBytes is the maximum size of the chunks in which contents are saved.
	blobChunkBytes = 256 << 10
	// itemBytes is the encoded size of an item.
	itemBytes = 16
	// offsetBytes is the encoded size of a line offset.
	offsetBytes = 8
)

// storedContent is a reader of a stored file as it was when the ledger was saved.
type storedContent struct {
	name   string
	size   int64
	reader io.ReadCloser
}

// Snapshot implements machine.Machine.Snapshot; it includes the contents of all stored files.
func (l *Ledger) Snapshot(w io.Writer) error {
	return l.save(w, true)
}

// Checkpoint writes the state without the contents of stored files, which it syncs in place.
func (l *Ledger) Checkpoint(w io.Writer) error {
	return l.save(w, false)
}

func (l *Ledger) save(w io.Writer, withContents bool) error {
	b, s, err := l.capture(withContents)
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
	return writePart(w, &entry.Saved{Part: &entry.Saved_End{End: &entry.End{}}})
}

// capture encodes the state and opens the stored files at the same point of the log.
func (l *Ledger) capture(withContents bool) ([]byte, []storedContent, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if err := l.Storage.Sync(); err != nil {
		return nil, nil, err
	}
	b := &bytes.Buffer{}
	for _, s := range l.parts(withContents) {
		if err := writePart(b, s); err != nil {
			return nil, nil, err
		}
	}
	if !withContents {
		return b.Bytes(), nil, nil
	}
	c, err := l.contents()
	return b.Bytes(), c, err
}

func (l *Ledger) contents() ([]storedContent, error) {
	var s []storedContent
	sizes := l.sizes()
	for _, n := range slices.Sorted(maps.Keys(sizes)) {
		r, err := l.Storage.Open(n)
		if err != nil {
			return s, err
		}
		s = append(s, storedContent{name: n, size: sizes[n], reader: r})
	}
	return s, nil
}

// sizes returns the sizes of the stored files by name.
func (l *Ledger) sizes() map[string]int64 {
	m := map[string]int64{}
	for _, f := range l.files {
		m[f.name()] = f.info.Bytes
	}
	for _, w := range l.jobs {
		m[w.name()] = w.info.ResultBytes
	}
	return m
}

func (c storedContent) save(w io.Writer) error {
	b := make([]byte, min(c.size, blobChunkBytes))
	for n := c.size; n > 0; {
		k := min(n, blobChunkBytes)
		if _, err := io.ReadFull(c.reader, b[:k]); err != nil {
			return err
		}
		p := &entry.Blob{Name: c.name, Data: b[:k]}
		if err := writePart(w, &entry.Saved{Part: &entry.Saved_Blob{Blob: p}}); err != nil {
			return err
		}
		n -= k
	}
	return nil
}

func writePart(w io.Writer, s *entry.Saved) error {
	_, err := protodelim.MarshalTo(w, s)
	return err
}

// parts returns the state as a list in which each part refers only to earlier ones.
func (l *Ledger) parts(withContents bool) []*entry.Saved {
	h := &entry.Head{Format: savedFormat, Index: l.index, Term: l.term, Now: l.now, Fence: l.lastFence, Whole: withContents}
	p := []*entry.Saved{{Part: &entry.Saved_Head{Head: h}}}
	for _, id := range slices.Sorted(maps.Keys(l.files)) {
		p = append(p, &entry.Saved{Part: &entry.Saved_File{File: l.files[id].saved()}})
	}
	for _, t := range slices.Sorted(maps.Keys(l.jobsByTeam)) {
		for _, id := range l.jobsByTeam[t] {
			p = append(p, &entry.Saved{Part: &entry.Saved_Job{Job: l.jobs[id].saved()}})
		}
	}
	p = append(p, l.savedQueues()...)
	p = append(p, l.savedLeases()...)
	for _, k := range slices.SortedFunc(maps.Keys(l.keys), teamKey.compare) {
		p = append(p, &entry.Saved{Part: &entry.Saved_Key{Key: l.keys[k]}})
	}
	for _, r := range l.records.All() {
		p = append(p, &entry.Saved{Part: &entry.Saved_Record{Record: r}})
	}
	return p
}

func (f *file) saved() *entry.File {
	s := fileView(f)
	s.Offsets = make([]byte, 0, offsetBytes*len(f.lineStarts))
	for _, o := range f.lineStarts {
		s.Offsets = binary.LittleEndian.AppendUint64(s.Offsets, uint64(o))
	}
	return s
}

func (w *job) saved() *entry.Job {
	j := w.view()
	j.Returned = w.returned
	w.inline.save(j)
	j.Slots = make([]byte, 0, itemBytes*len(w.items))
	for _, s := range w.items {
		j.Slots = binary.LittleEndian.AppendUint64(j.Slots, uint64(s.offset))
		j.Slots = binary.LittleEndian.AppendUint32(j.Slots, s.length)
		j.Slots = append(j.Slots, s.state, s.attempts, s.expiries, s.sent)
	}
	return j
}

func (l *Ledger) savedQueues() []*entry.Saved {
	var p []*entry.Saved
	for _, t := range slices.Sorted(maps.Keys(l.queues)) {
		for _, n := range l.queues[t].teams {
			q := &entry.Queued{Target: t, Team: n.team}
			for _, w := range n.jobs {
				if w.info.State == jobRunning {
					q.Jobs = append(q.Jobs, w.info.Id)
				}
			}
			p = append(p, &entry.Saved{Part: &entry.Saved_Queued{Queued: q}})
		}
	}
	for _, d := range l.deferred {
		if l.jobs[d.job.info.Id] == nil {
			continue
		}
		e := &entry.Deferred{Job: d.job.info.Id, Index: d.index, At: d.at}
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
			LeaseNanoseconds: s.leaseNanoseconds,
			Last:             s.lastFences,
		}
		p = append(p, &entry.Saved{Part: &entry.Saved_Session{Session: e}})
	}
	for _, f := range slices.Sorted(maps.Keys(l.leases)) {
		e := l.leases[f]
		s := &entry.Leased{
			Job:      e.job.info.Id,
			Index:    e.index,
			Fence:    f,
			Holder:   e.session.holder,
			Intended: e.intended,
		}
		p = append(p, &entry.Saved{Part: &entry.Saved_Leased{Leased: s}})
	}
	return p
}
