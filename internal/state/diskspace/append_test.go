package diskspace_test

import (
	"os"
	"path/filepath"
	"syscall"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"

	"siskinrun/internal/state/diskspace"
	"siskinrun/internal/state/filesystem"
)

// shortFile is a file on a full disk, which takes a part of each write and may refuse to cut it off.
type shortFile struct {
	filesystem.File
	full, refusesCuts bool
}

func (f *shortFile) Write(b []byte) (int, error) {
	if !f.full {
		return f.File.Write(b)
	}
	n, _ := f.File.Write(b[:len(b)/2])
	return n, syscall.ENOSPC
}

func (f *shortFile) Truncate(size int64) error {
	if f.full && f.refusesCuts {
		return syscall.ENOSPC
	}
	return f.File.Truncate(size)
}

// TestShortWritesLeaveNothing guards against a file that is damaged by the parts of writes that a full disk has taken.
func TestShortWritesLeaveNothing(t *testing.T) {
	for _, refusesCuts := range []bool{false, true} {
		is := is.New(t)
		p := filepath.Join(t.TempDir(), "f")
		o, err := (filesystem.OS{}).Open(p)
		is.NoErr(err)
		defer func() { _ = o.Close() }()
		f := &shortFile{File: o, refusesCuts: refusesCuts}
		pauses := 0
		w := &diskspace.Waiter{Pause: func(error) error {
			pauses++
			f.full = pauses%3 != 0
			return nil
		}}
		for _, b := range []string{"abcd", "efgh", "ijkl"} {
			is.NoErr(w.Append([]byte(b), func(use func(filesystem.File) error) error { return use(f) }))
			f.full = true
		}
		is.Equal(pauses, 6)
		b, err := os.ReadFile(p)
		is.NoErr(err)
		is.Equal(string(b), "abcdefghijkl")
	}
}

// TestGivenUpWriteIsCutOff guards against a part of a write that stays though its write has failed for another reason.
func TestGivenUpWriteIsCutOff(t *testing.T) {
	is := is.New(t)
	p := filepath.Join(t.TempDir(), "f")
	o, err := (filesystem.OS{}).Open(p)
	is.NoErr(err)
	defer func() { _ = o.Close() }()
	w := &diskspace.Waiter{Pause: func(error) error { return errors.New("stopping") }}
	err = w.Append([]byte("abcd"), func(use func(filesystem.File) error) error { return use(&shortFile{File: o, full: true}) })
	is.True(errors.Is(err, syscall.ENOSPC))
	b, err := os.ReadFile(p)
	is.NoErr(err)
	is.Equal(len(b), 0)
}
