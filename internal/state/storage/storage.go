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

// Storage makes the effects of a replica durable and gives them back after a restart.
type Storage struct {
	// Disk holds the files of the group.
	Disk files
	// Quorum is the membership that the group was formed with.
	Quorum memberset.Set
	// SegmentBytes, if set, replaces the usual size of a journal's segment.
	SegmentBytes int64

	journal   *journal.Journal
	snapshots *snapshot.Snapshot
}

// files is what a group needs of its folder.
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

// Open returns what the disk holds.
func (s *Storage) Open() (recovered.State, error) {
	s.snapshots = &snapshot.Snapshot{Disk: s.Disk}
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
		r.Members = s.Quorum
		if r.Base > 0 {
			return r, errors.Newf("the log starts at %d, and its snapshot is gone", r.Base+1)
		}
		return r, nil
	}
	return s.join(r, recovered.State{Ballot: r.Ballot, Base: index, BaseTerm: term, Members: q})
}

// join puts the entries that follow the snapshot behind it.
func (s *Storage) join(r, snap recovered.State) (recovered.State, error) {
	if r.Base > snap.Base {
		return r, errors.Newf("the log starts at %d, the newest snapshot is of %d", r.Base+1, snap.Base)
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

// Receive stores a part of a snapshot and reports whether the whole has replaced the log.
func (s *Storage) Receive(c *message.Message) (installed bool, err error) {
	i, t, err := s.snapshots.Receive(c.Offset, c.Data, c.Last)
	if err != nil || !c.Last {
		return false, err
	}
	if i != c.Index || t != c.LogTerm {
		return false, errors.Mark(errors.New("the snapshot is of another place"), snapshot.ErrDamaged)
	}
	return true, s.journal.Reset(i, t)
}

// Snapshot makes a snapshot durable, whose data the given function writes.
func (s *Storage) Snapshot(index, term uint64, q memberset.Set, data func(io.Writer) error) error {
	return s.snapshots.Write(index, term, q, data)
}

// Restore hands the data of the snapshot of index to the given function.
func (s *Storage) Restore(index uint64, data func(io.Reader) error) error {
	return s.snapshots.Read(index, data)
}

// Part returns a part of the snapshot of index and whether it is the last.
func (s *Storage) Part(index, offset uint64) (data []byte, last bool, err error) {
	return s.snapshots.Part(index, offset)
}

// Compact removes what the snapshot of index made superfluous.
func (s *Storage) Compact(index uint64) error {
	return s.journal.Compact(index)
}

// Syncs returns how often the journal was synced.
func (s *Storage) Syncs() uint64 {
	return s.journal.Syncs()
}
