package control_test

import (
	"os"
	"sync/atomic"
	"syscall"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/filesystem"
)

// operation is an operation that a full disk can refuse.
type operation string

const (
	opOpen       operation = "open"
	opWrite      operation = "write"
	opShortWrite operation = "short write"
	opCut        operation = "cut"
	opSync       operation = "sync"
	opTruncate   operation = "truncate"
	opRename     operation = "rename"
	opRemove     operation = "remove"
	opSyncFolder operation = "sync of the folder"
)

// fullDisk is a file system that refuses some operations while it is full.
type fullDisk struct {
	filesystem.OS
	refuses map[operation]bool
	full    atomic.Bool
	refused atomic.Int64
}

// refuse returns the error of an operation, nil if it is not refused.
func (d *fullDisk) refuse(o operation) error {
	if !d.full.Load() || !d.refuses[o] {
		return nil
	}
	d.refused.Add(1)
	return &os.PathError{Op: string(o), Err: syscall.ENOSPC}
}

func (d *fullDisk) Open(path string) (filesystem.File, error) {
	_, err := os.Stat(path)
	if errors.Is(err, os.ErrNotExist) {
		if err := d.refuse(opOpen); err != nil {
			return nil, err
		}
	}
	f, err := d.OS.Open(path)
	return &fullFile{f, d}, err
}

func (d *fullDisk) Truncate(path string, size int64) error {
	if err := d.refuse(opTruncate); err != nil {
		return err
	}
	return d.OS.Truncate(path, size)
}

func (d *fullDisk) Rename(from, to string) error {
	if err := d.refuse(opRename); err != nil {
		return err
	}
	return d.OS.Rename(from, to)
}

func (d *fullDisk) Remove(path string) error {
	if err := d.refuse(opRemove); err != nil {
		return err
	}
	return d.OS.Remove(path)
}

func (d *fullDisk) SyncFolder(path string) error {
	if err := d.refuse(opSyncFolder); err != nil {
		return err
	}
	return d.OS.SyncFolder(path)
}

// fullFile is a file on a fullDisk.
type fullFile struct {
	filesystem.File
	disk *fullDisk
}

// Write implements io.Writer.Write. A short write leaves a half of the bytes.
func (f *fullFile) Write(b []byte) (int, error) {
	if err := f.disk.refuse(opWrite); err != nil {
		return 0, err
	}
	if err := f.disk.refuse(opShortWrite); err != nil {
		n, _ := f.File.Write(b[:len(b)/2])
		return n, err
	}
	return f.File.Write(b)
}

func (f *fullFile) Truncate(size int64) error {
	if err := f.disk.refuse(opCut); err != nil {
		return err
	}
	return f.File.Truncate(size)
}

func (f *fullFile) Sync() error {
	if err := f.disk.refuse(opSync); err != nil {
		return err
	}
	return f.File.Sync()
}
