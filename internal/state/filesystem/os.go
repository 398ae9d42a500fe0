package filesystem

import (
	"os"

	"github.com/cockroachdb/errors"
)

const fileMode = 0o600

// OS is the file system of the operating system.
type OS struct{}

// Open implements System.Open.
func (OS) Open(path string) (File, error) {
	f, err := os.OpenFile(path, os.O_CREATE|os.O_WRONLY|os.O_APPEND, fileMode)
	if err != nil {
		return nil, err
	}
	return f, nil
}

// Truncate implements System.Truncate.
func (OS) Truncate(path string, size int64) error {
	return os.Truncate(path, size)
}

// Rename implements System.Rename.
func (OS) Rename(from, to string) error {
	return os.Rename(from, to)
}

// Remove implements System.Remove.
func (OS) Remove(path string) error {
	return os.Remove(path)
}

// SyncFolder implements System.SyncFolder.
func (OS) SyncFolder(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open a folder to sync it")
	}
	defer func() { _ = f.Close() }()
	return errors.Wrap(f.Sync(), "sync a folder")
}
