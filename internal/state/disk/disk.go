package disk

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
	folderMode = 0o700
	// unfinishedSuffix marks files that Replace has not finished.
	unfinishedSuffix = ".unfinished"
)

// Disk is a folder of append-only files.
type Disk struct {
	// Space, if set, waits while the disk is full.
	Space *diskspace.Waiter
	// System, if set, replaces the file system of the operating system.
	System filesystem.System

	folder string
	mu     sync.Mutex
	open   map[string]filesystem.File
}

// NewDisk opens a folder and creates it if it does not exist.
func NewDisk(folder string) (*Disk, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Wrap(err, "create the data folder")
	}
	d := &Disk{folder: folder, open: map[string]filesystem.File{}}
	if err := d.system().SyncFolder(filepath.Dir(folder)); err != nil {
		return nil, err
	}
	return d, d.SyncFolder()
}

// Read returns the content of a file.
func (d *Disk) Read(name string) ([]byte, error) {
	return os.ReadFile(d.path(name))
}

// ReadAt reads into b from an offset of a file and returns the number of bytes read; the end of the file is no error.
func (d *Disk) ReadAt(name string, b []byte, offset int64) (int, error) {
	f, err := os.Open(d.path(name))
	if err != nil {
		return 0, err
	}
	defer func() { _ = f.Close() }()
	n, err := f.ReadAt(b, offset)
	if errors.Is(err, io.EOF) {
		return n, nil
	}
	return n, err
}

// Size returns the size of a file in bytes.
func (d *Disk) Size(name string) (int64, error) {
	i, err := os.Stat(d.path(name))
	if err != nil {
		return 0, err
	}
	return i.Size(), nil
}

// List returns the sorted names of all files.
func (d *Disk) List() ([]string, error) {
	e, err := os.ReadDir(d.folder)
	if err != nil {
		return nil, err
	}
	var n []string
	for _, f := range e {
		if !f.IsDir() {
			n = append(n, f.Name())
		}
	}
	return n, nil
}

// Append appends b to a file and creates it if it does not exist.
func (d *Disk) Append(name string, b []byte) error {
	return d.Space.Append(b, func(use func(f filesystem.File) error) error {
		f, err := d.openFile(name)
		if err != nil {
			return err
		}
		return use(f)
	})
}

// Sync makes the bytes of a file durable.
func (d *Disk) Sync(name string) error {
	f, err := d.openFile(name)
	if err != nil {
		return err
	}
	return f.Sync()
}

// Truncate changes the size of a file.
func (d *Disk) Truncate(name string, size int64) error {
	d.closeFile(name)
	return d.system().Truncate(d.path(name), size)
}

// Rename renames a file.
func (d *Disk) Rename(from, to string) error {
	d.closeFile(from)
	d.closeFile(to)
	return d.system().Rename(d.path(from), d.path(to))
}

// Remove deletes a file.
func (d *Disk) Remove(name string) error {
	d.closeFile(name)
	return d.system().Remove(d.path(name))
}

// SyncFolder makes created, renamed and removed names durable.
func (d *Disk) SyncFolder() error {
	return d.system().SyncFolder(d.folder)
}

// Replace atomically and durably replaces the content of a file by b.
func (d *Disk) Replace(name string, b []byte) error {
	n := name + unfinishedSuffix
	if err := d.Remove(n); err != nil && !errors.Is(err, os.ErrNotExist) {
		return err
	}
	if err := d.Append(n, b); err != nil {
		return err
	}
	if err := d.Sync(n); err != nil {
		return err
	}
	if err := d.Rename(n, name); err != nil {
		return err
	}
	return d.SyncFolder()
}

// Close closes all files.
func (d *Disk) Close() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	var all error
	for n, f := range d.open {
		all = errors.CombineErrors(all, f.Close())
		delete(d.open, n)
	}
	return all
}

func (d *Disk) system() filesystem.System {
	if d.System == nil {
		return filesystem.OS{}
	}
	return d.System
}

func (d *Disk) path(name string) string {
	return filepath.Join(d.folder, name)
}

func (d *Disk) openFile(name string) (filesystem.File, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.open[name]; f != nil {
		return f, nil
	}
	f, err := d.system().Open(d.path(name))
	if err != nil {
		return nil, err
	}
	d.open[name] = f
	return f, nil
}

func (d *Disk) closeFile(name string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if f := d.open[name]; f != nil {
		_ = f.Close()
		delete(d.open, name)
	}
}
