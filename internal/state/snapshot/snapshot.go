package snapshot

import (
	"fmt"
	"io"
	"os"
	"strings"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/memberset"
)

const (
	// PartBytes is the size of the parts that snapshots travel in.
	PartBytes = 256 << 10

	suffix       = ".snapshot"
	localName    = "local.new"
	receivedName = "received.new"
	kept         = 2
)

// Snapshot is the set of snapshots of a group, of which the newest two are kept.
type Snapshot struct {
	// Disk holds the files.
	Disk files

	mu    sync.Mutex
	files []uint64
}

// files is what snapshots need of a data folder.
type files interface {
	ReadAt(name string, b []byte, offset int64) (int, error)
	Size(name string) (int64, error)
	List() ([]string, error)
	Append(name string, b []byte) error
	Sync(name string) error
	Rename(from, to string) error
	Remove(name string) error
	SyncFolder() error
}

// Open finds the newest snapshot and removes unfinished ones; index is zero if there is none.
func (s *Snapshot) Open() (index, term uint64, q memberset.Set, err error) {
	all, err := s.Disk.List()
	if err != nil {
		return 0, 0, q, errors.Wrap(err, "list the snapshots")
	}
	for _, n := range all {
		if n == localName || n == receivedName {
			if err := s.Disk.Remove(n); err != nil {
				return 0, 0, q, err
			}
		}
		var i uint64
		if !strings.HasSuffix(n, suffix) {
			continue
		}
		if _, err := fmt.Sscanf(n, "%d"+suffix, &i); err != nil {
			return 0, 0, q, errors.Newf("a snapshot has the odd name %s", n)
		}
		s.files = append(s.files, i)
	}
	if len(s.files) == 0 {
		return 0, 0, q, nil
	}
	i := s.files[len(s.files)-1]
	h, err := s.verify(name(i))
	if err == nil && h.index != i {
		err = errors.Newf("the snapshot is of place %d", h.index)
	}
	return h.index, h.term, h.quorum, errors.Wrapf(err, "snapshot %s", name(i))
}

// Write makes a snapshot durable, whose data the given function writes.
func (s *Snapshot) Write(index, term uint64, q memberset.Set, data func(io.Writer) error) error {
	if err := s.remove(localName); err != nil {
		return err
	}
	w := newWriter(s.Disk, localName)
	w.header(header{index: index, term: term, quorum: q})
	if err := data(w); err != nil {
		return errors.Wrap(err, "write a snapshot")
	}
	if err := w.finish(); err != nil {
		return err
	}
	return s.adopt(localName, index)
}

// Receive stores a part of a peer's snapshot; the last part verifies and adopts the whole.
func (s *Snapshot) Receive(offset uint64, data []byte, last bool) (index, term uint64, err error) {
	if offset == 0 {
		if err := s.remove(receivedName); err != nil {
			return 0, 0, err
		}
	}
	if err := s.Disk.Append(receivedName, data); err != nil {
		return 0, 0, errors.Wrap(err, "store a part of a snapshot")
	}
	if !last {
		return 0, 0, nil
	}
	h, err := s.verify(receivedName)
	if err != nil {
		return 0, 0, errors.Mark(err, ErrDamaged)
	}
	if err := s.Disk.Sync(receivedName); err != nil {
		return 0, 0, errors.Wrap(err, "sync a snapshot")
	}
	return h.index, h.term, s.adopt(receivedName, h.index)
}

// Part returns a part of a snapshot as it travels and whether it is the last.
func (s *Snapshot) Part(index, offset uint64) (data []byte, last bool, err error) {
	n, err := s.Disk.Size(name(index))
	if err != nil {
		return nil, false, err
	}
	b := make([]byte, PartBytes)
	c, err := s.Disk.ReadAt(name(index), b, int64(offset))
	return b[:c], int64(offset)+int64(c) >= n, err
}

// Read hands the data of a snapshot to the given function.
func (s *Snapshot) Read(index uint64, data func(io.Reader) error) error {
	n := name(index)
	size, err := s.Disk.Size(n)
	if err != nil {
		return err
	}
	_, start, err := readHeader(s.Disk, n)
	if err != nil {
		return err
	}
	return data(newReader(s.Disk, n, start, size-trailerBytes))
}

// adopt names a finished file and removes the snapshots that are no longer needed.
func (s *Snapshot) adopt(from string, index uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.Disk.Rename(from, name(index)); err != nil {
		return errors.Wrap(err, "name a snapshot")
	}
	if err := s.Disk.SyncFolder(); err != nil {
		return errors.Wrap(err, "sync the snapshots' folder")
	}
	if len(s.files) == 0 || s.files[len(s.files)-1] < index {
		s.files = append(s.files, index)
	}
	for len(s.files) > kept {
		if err := s.remove(name(s.files[0])); err != nil {
			return err
		}
		s.files = s.files[1:]
	}
	return nil
}

func (s *Snapshot) remove(n string) error {
	err := s.Disk.Remove(n)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "remove a snapshot")
	}
	return nil
}

func name(index uint64) string {
	return fmt.Sprintf("%016d%s", index, suffix)
}
