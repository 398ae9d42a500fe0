package filesystem

import (
	"io"
	"os"
)

// File is a file that is open for appending.
type File interface {
	io.WriteCloser
	Stat() (os.FileInfo, error)
	Truncate(size int64) error
	Sync() error
}
