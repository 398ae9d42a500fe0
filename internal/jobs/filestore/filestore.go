package filestore

import (
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/diskspace"
	"siskinrun/internal/state/filesystem"
)

const (
	// maxHandles is the maximum number of open file handles.
	maxHandles = 128

	filePermission      = 0o640
	directoryPermission = 0o750
)

// Store keeps append-only files by name in one directory.
type Store struct {
	// Path is the directory of the files.
	Path string
	// Space, if set, waits while the disk is full.
	Space *diskspace.Waiter

	mu      sync.Mutex
	handles map[string]*os.File
	dirty   map[string]struct{}
	// directoryDirty says that files were created or removed since the last Sync.
	directoryDirty bool
}

// NewStore returns a store in the directory at path, which it creates if needed.
func NewStore(path string) (*Store, error) {
	if err := os.MkdirAll(path, directoryPermission); err != nil {
		return nil, errors.Wrap(err, "create file store")
	}
	return &Store{Path: path, handles: map[string]*os.File{}, dirty: map[string]struct{}{}}, nil
}

// Create creates an empty file, replacing any existing one.
func (f *Store) Create(name string) error {
	return f.Space.Do(func() error { return f.create(name) })
}

func (f *Store) create(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.remove(name); err != nil {
		return err
	}
	h, err := os.OpenFile(f.path(name), os.O_CREATE|os.O_EXCL|os.O_RDWR|os.O_APPEND, filePermission)
	if err != nil {
		return err
	}
	f.cacheHandle(name, h)
	f.directoryDirty = true
	f.dirty[name] = struct{}{}
	return nil
}

// Append adds bytes to the end of a file.
func (f *Store) Append(name string, b []byte) error {
	return f.Space.Append(b, func(use func(h filesystem.File) error) error {
		f.mu.Lock()
		defer f.mu.Unlock()
		h, err := f.handle(name)
		if err != nil {
			return err
		}
		f.dirty[name] = struct{}{}
		return use(h)
	})
}

// ReadAt fills b from an offset in a file.
func (f *Store) ReadAt(name string, b []byte, offset int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, err := f.handle(name)
	if err != nil {
		return err
	}
	_, err = h.ReadAt(b, offset)
	if err == io.EOF && len(b) == 0 {
		return nil
	}
	return err
}

// Open returns a reader of the contents, which stays readable after the file is removed.
func (f *Store) Open(name string) (io.ReadCloser, error) {
	return os.Open(f.path(name))
}

// Truncate shortens a file to size bytes and fails if the file is already shorter.
func (f *Store) Truncate(name string, size int64) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, err := f.handle(name)
	if err != nil {
		return err
	}
	s, err := h.Stat()
	if err != nil {
		return err
	}
	if s.Size() < size {
		return errors.Newf("file %q has %d bytes, expected at least %d", name, s.Size(), size)
	}
	if s.Size() == size {
		return nil
	}
	f.dirty[name] = struct{}{}
	return h.Truncate(size)
}

// Remove deletes a file; it is no error if the file does not exist.
func (f *Store) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.remove(name)
}

// Names returns the names of all files.
func (f *Store) Names() ([]string, error) {
	d, err := os.ReadDir(f.Path)
	if err != nil {
		return nil, err
	}
	var n []string
	for _, e := range d {
		n = append(n, e.Name())
	}
	return n, nil
}

// Sync flushes all writes, creations and removals to stable storage.
func (f *Store) Sync() error {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n := range f.dirty {
		h, err := f.handle(n)
		if err != nil {
			return err
		}
		if err := h.Sync(); err != nil {
			return err
		}
		delete(f.dirty, n)
	}
	if !f.directoryDirty {
		return nil
	}
	d, err := os.Open(f.Path)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	f.directoryDirty = false
	return d.Sync()
}

// Close closes all handles.
func (f *Store) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, h := range f.handles {
		_ = h.Close()
		delete(f.handles, n)
	}
}

func (f *Store) path(name string) string {
	return filepath.Join(f.Path, name)
}

func (f *Store) remove(name string) error {
	if h := f.handles[name]; h != nil {
		_ = h.Close()
		delete(f.handles, name)
	}
	delete(f.dirty, name)
	err := os.Remove(f.path(name))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	f.directoryDirty = true
	return err
}

func (f *Store) handle(name string) (*os.File, error) {
	if h := f.handles[name]; h != nil {
		return h, nil
	}
	h, err := os.OpenFile(f.path(name), os.O_RDWR|os.O_APPEND, filePermission)
	if err != nil {
		return nil, err
	}
	f.cacheHandle(name, h)
	return h, nil
}

// cacheHandle keeps a handle open, and closes arbitrary others when maxHandles are open.
func (f *Store) cacheHandle(name string, h *os.File) {
	for n, o := range f.handles {
		if len(f.handles) < maxHandles {
			break
		}
		_ = o.Close()
		delete(f.handles, n)
	}
	f.handles[name] = h
}
