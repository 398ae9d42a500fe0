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
	// ChunkBytes is the size of the chunks in which snapshots are transferred.
	ChunkBytes = 256 << 10

	fileSuffix       = ".snapshot"
	localName        = "local.new"
	receivedName     = "received.new"
	maxKeptSnapshots = 2
)

// Store holds the snapshots of a group and keeps the newest two.
type Store struct {
	// Disk holds the files.
	Disk files

	mu      sync.Mutex
	indexes []uint64
}

// files is the part of a data folder that a store uses.
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

// Open verifies the newest snapshot and removes unfinished ones; index is zero if there is none.
func (s *Store) Open() (index, term uint64, q memberset.Set, err error) {
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
		if !strings.HasSuffix(n, fileSuffix) {
			continue
		}
		if _, err := fmt.Sscanf(n, "%d"+fileSuffix, &i); err != nil {
			return 0, 0, q, errors.Newf("snapshot %s has a malformed name", n)
		}
		s.indexes = append(s.indexes, i)
	}
	if len(s.indexes) == 0 {
		return 0, 0, q, nil
	}
	i := s.indexes[len(s.indexes)-1]
	h, err := s.verify(fileName(i))
	if err == nil && h.index != i {
		err = errors.Newf("header has index %d", h.index)
	}
	return h.index, h.term, h.members, errors.Wrapf(err, "snapshot %s", fileName(i))
}

// Write durably stores a snapshot whose data the given function writes.
func (s *Store) Write(index, term uint64, q memberset.Set, data func(io.Writer) error) error {
	if err := s.remove(localName); err != nil {
		return err
	}
	w := newWriter(s.Disk, localName)
	w.writeHeader(header{index: index, term: term, members: q})
	if err := data(w); err != nil {
		return errors.Wrap(err, "write a snapshot")
	}
	if err := w.finish(); err != nil {
		return err
	}
	return s.install(localName, index)
}

// Receive stores a chunk of a peer's snapshot; after the last chunk, the snapshot is verified and installed.
func (s *Store) Receive(offset uint64, data []byte, last bool) (index, term uint64, err error) {
	if offset == 0 {
		if err := s.remove(receivedName); err != nil {
			return 0, 0, err
		}
	}
	if err := s.Disk.Append(receivedName, data); err != nil {
		return 0, 0, errors.Wrap(err, "store a chunk of a snapshot")
	}
	if !last {
		return 0, 0, nil
	}
	h, err := s.verify(receivedName)
	if err != nil {
		return 0, 0, errors.Mark(err, ErrCorrupt)
	}
	if err := s.Disk.Sync(receivedName); err != nil {
		return 0, 0, errors.Wrap(err, "sync a snapshot")
	}
	return h.index, h.term, s.install(receivedName, h.index)
}

// ReadChunk returns the chunk of a snapshot at offset and reports whether it is the last.
func (s *Store) ReadChunk(index, offset uint64) (data []byte, last bool, err error) {
	n, err := s.Disk.Size(fileName(index))
	if err != nil {
		return nil, false, err
	}
	b := make([]byte, ChunkBytes)
	c, err := s.Disk.ReadAt(fileName(index), b, int64(offset))
	return b[:c], int64(offset)+int64(c) >= n, err
}

// Read passes the data of a snapshot to the given function.
func (s *Store) Read(index uint64, data func(io.Reader) error) error {
	n := fileName(index)
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

// install gives a finished file its final name and removes the snapshots beyond the newest two.
func (s *Store) install(from string, index uint64) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.Disk.Rename(from, fileName(index)); err != nil {
		return errors.Wrap(err, "rename a snapshot")
	}
	if err := s.Disk.SyncFolder(); err != nil {
		return errors.Wrap(err, "sync the snapshot folder")
	}
	if len(s.indexes) == 0 || s.indexes[len(s.indexes)-1] < index {
		s.indexes = append(s.indexes, index)
	}
	for len(s.indexes) > maxKeptSnapshots {
		if err := s.remove(fileName(s.indexes[0])); err != nil {
			return err
		}
		s.indexes = s.indexes[1:]
	}
	return nil
}

func (s *Store) remove(n string) error {
	err := s.Disk.Remove(n)
	if err != nil && !errors.Is(err, os.ErrNotExist) {
		return errors.Wrap(err, "remove a snapshot")
	}
	return nil
}

func fileName(index uint64) string {
	return fmt.Sprintf("%016d%s", index, fileSuffix)
}
