package storage

import (
	"io"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/ballot"
	"siskinrun/internal/state/effect"
	"siskinrun/internal/state/journal"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/memberset"
	"siskinrun/internal/state/message"
	"siskinrun/internal/state/recovered"
	"siskinrun/internal/state/snapshot"
)

// Storage makes the effects of a replica durable and recovers them after a restart.
type Storage struct {
	// Disk holds the files of the group.
	Disk files
	// Members is the membership with which the group was formed.
	Members memberset.Set
	// SegmentBytes, if set, replaces the default segment size of the journal.
	SegmentBytes int64

	journal   *journal.Journal
	snapshots *snapshot.Store
}

// files is the part of the group's data folder that storage uses.
type files interface {
	Read(name string) ([]byte, error)
	ReadAt(name string, b []byte, offset int64) (int, error)
	Size(name string) (int64, error)
	List() ([]string, error)
	Append(name string, b []byte) error
	Sync(name string) error
	Truncate(name string, size int64) error
	Rename(from, to string) error
	Remove(name string) error
	SyncFolder() error
}

// Open returns the state recovered from the newest snapshot and the journal.
func (s *Storage) Open() (recovered.State, error) {
	s.snapshots = &snapshot.Store{Disk: s.Disk}
	s.journal = &journal.Journal{Disk: s.Disk, SegmentBytes: s.SegmentBytes}
	index, term, q, err := s.snapshots.Open()
	if err != nil {
		return recovered.State{}, err
	}
	r, err := s.journal.Open()
	if err != nil {
		return recovered.State{}, err
	}
	if index == 0 {
		r.Members = s.Members
		if r.Base > 0 {
			return r, errors.Newf("log starts at index %d, but its snapshot is gone", r.Base+1)
		}
		return r, nil
	}
	return s.joinSnapshot(r, recovered.State{Ballot: r.Ballot, Base: index, BaseTerm: term, Members: q})
}

// joinSnapshot appends to the snapshot the log entries that follow it. If the log lacks the snapshot's last entry, the
// snapshot replaces the log.
func (s *Storage) joinSnapshot(r, snap recovered.State) (recovered.State, error) {
	if r.Base > snap.Base {
		return r, errors.Newf("log starts at index %d, but the newest snapshot ends at index %d", r.Base+1, snap.Base)
	}
	if i := snap.Base - r.Base; i == 0 || i <= uint64(len(r.Entries)) && r.Entries[i-1].Term == snap.BaseTerm {
		snap.Entries = r.Entries[i:]
		return snap, nil
	}
	return snap, s.journal.Reset(snap.Base, snap.BaseTerm)
}

// Write makes the ballots and entries of effects durable with one sync.
func (s *Storage) Write(effects []effect.Effect) error {
	var b *ballot.Ballot
	var e []logentry.Entry
	for _, f := range effects {
		if f.Ballot != nil {
			b = f.Ballot
		}
		e = append(e, f.Entries...)
	}
	return s.journal.Append(b, e)
}

// Receive stores a chunk of a peer's snapshot and reports whether the complete snapshot has replaced the log.
func (s *Storage) Receive(c *message.Message) (installed bool, err error) {
	i, t, err := s.snapshots.Receive(c.Offset, c.Data, c.Last)
	if err != nil || !c.Last {
		return false, err
	}
	if i != c.Index || t != c.LogTerm {
		return false, errors.Mark(errors.New("snapshot has another index or term than announced"), snapshot.ErrCorrupt)
	}
	return true, s.journal.Reset(i, t)
}

// Snapshot durably stores a snapshot whose data the given function writes.
func (s *Storage) Snapshot(index, term uint64, q memberset.Set, data func(io.Writer) error) error {
	return s.snapshots.Write(index, term, q, data)
}

// Restore passes the data of the snapshot at index to the given function.
func (s *Storage) Restore(index uint64, data func(io.Reader) error) error {
	return s.snapshots.Read(index, data)
}

// ReadChunk returns the chunk at offset of the snapshot at index and reports whether it is the last.
func (s *Storage) ReadChunk(index, offset uint64) (data []byte, last bool, err error) {
	return s.snapshots.ReadChunk(index, offset)
}

// Compact removes the journal segments that the snapshot at index replaces.
func (s *Storage) Compact(index uint64) error {
	return s.journal.Compact(index)
}

// Syncs returns the number of journal syncs since the start.
func (s *Storage) Syncs() uint64 {
	return s.journal.Syncs()
}
