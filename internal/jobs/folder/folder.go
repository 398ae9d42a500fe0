package folder

import (
	"io"
	"os"
	"path/filepath"
	"sync"

	"github.com/cockroachdb/errors"
)

const (
	// maxHandles is the most files that stay open.
	maxHandles = 128

	filePermission   = 0o640
	folderPermission = 0o750
)

// Folder stores files that only grow, by name, in one folder.
type Folder struct {
	// Path is where the files are.
	Path string

	mu      sync.Mutex
	handles map[string]*os.File
	dirty   map[string]struct{}
	// changed says that names came or went since the last Sync.
	changed bool
}

// NewFolder makes the folder at path if it is missing.
func NewFolder(path string) (*Folder, error) {
	if err := os.MkdirAll(path, folderPermission); err != nil {
		return nil, errors.Wrap(err, "make folder")
	}
	return &Folder{Path: path, handles: map[string]*os.File{}, dirty: map[string]struct{}{}}, nil
}

// Create makes an empty file in place of any former one.
func (f *Folder) Create(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	if err := f.remove(name); err != nil {
		return err
	}
	h, err := os.OpenFile(f.place(name), os.O_CREATE|os.O_EXCL|os.O_RDWR|os.O_APPEND, filePermission)
	if err != nil {
		return err
	}
	f.hold(name, h)
	f.changed = true
	f.dirty[name] = struct{}{}
	return nil
}

// Append adds bytes to the end of a file.
func (f *Folder) Append(name string, b []byte) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	h, err := f.handle(name)
	if err != nil {
		return err
	}
	f.dirty[name] = struct{}{}
	_, err = h.Write(b)
	return err
}

// ReadAt fills b from a place in a file.
func (f *Folder) ReadAt(name string, b []byte, offset int64) error {
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

// Open returns the contents, readable also after the file is removed.
func (f *Folder) Open(name string) (io.ReadCloser, error) {
	return os.Open(f.place(name))
}

// Cut shortens a file to size bytes and fails if it is shorter.
func (f *Folder) Cut(name string, size int64) error {
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
		return errors.Newf("%s has %d bytes of %d", name, s.Size(), size)
	}
	if s.Size() == size {
		return nil
	}
	f.dirty[name] = struct{}{}
	return h.Truncate(size)
}

// Remove deletes a file; a missing one is no error.
func (f *Folder) Remove(name string) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.remove(name)
}

// Names lists the files.
func (f *Folder) Names() ([]string, error) {
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

// Sync makes all that was written durable.
func (f *Folder) Sync() error {
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
	if !f.changed {
		return nil
	}
	d, err := os.Open(f.Path)
	if err != nil {
		return err
	}
	defer func() { _ = d.Close() }()
	f.changed = false
	return d.Sync()
}

// Close closes all handles.
func (f *Folder) Close() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for n, h := range f.handles {
		_ = h.Close()
		delete(f.handles, n)
	}
}

func (f *Folder) place(name string) string {
	return filepath.Join(f.Path, name)
}

func (f *Folder) remove(name string) error {
	if h := f.handles[name]; h != nil {
		_ = h.Close()
		delete(f.handles, name)
	}
	delete(f.dirty, name)
	err := os.Remove(f.place(name))
	if errors.Is(err, os.ErrNotExist) {
		return nil
	}
	f.changed = true
	return err
}

func (f *Folder) handle(name string) (*os.File, error) {
	if h := f.handles[name]; h != nil {
		return h, nil
	}
	h, err := os.OpenFile(f.place(name), os.O_RDWR|os.O_APPEND, filePermission)
	if err != nil {
		return nil, err
	}
	f.hold(name, h)
	return h, nil
}

// hold keeps a handle, closing some other one when there are many.
func (f *Folder) hold(name string, h *os.File) {
	for n, o := range f.handles {
		if len(f.handles) < maxHandles {
			break
		}
		_ = o.Close()
		delete(f.handles, n)
	}
	f.handles[name] = h
}
