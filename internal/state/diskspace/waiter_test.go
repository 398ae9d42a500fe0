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

func TestAppendWaitsWhileTheDiskIsFull(t *testing.T) {
	is := is.New(t)
	p := filepath.Join(t.TempDir(), "f")
	full, pauses := 3, 0
	w := &diskspace.Waiter{Pause: func(refused error) error {
		is.True(errors.Is(refused, syscall.ENOSPC))
		pauses++
		full--
		return nil
	}}
	f, err := os.OpenFile(p, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	is.NoErr(err)
	defer func() { _ = f.Close() }()
	write := func(b string) error {
		return w.Append([]byte(b), func(use func(filesystem.File) error) error {
			if full > 0 {
				return &os.PathError{Op: "write", Path: p, Err: syscall.ENOSPC}
			}
			return use(f)
		})
	}
	is.NoErr(write("abc"))
	is.NoErr(write("def"))
	is.Equal(pauses, 3)
	b, err := os.ReadFile(p)
	is.NoErr(err)
	is.Equal(string(b), "abcdef")
}

func TestAppendGivesUpWhenTheHostStops(t *testing.T) {
	is := is.New(t)
	stopped := errors.New("stopping")
	w := &diskspace.Waiter{Pause: func(error) error { return stopped }}
	err := w.Do(func() error { return syscall.ENOSPC })
	is.True(errors.Is(err, syscall.ENOSPC))
}

func TestOtherErrorsAreReturned(t *testing.T) {
	is := is.New(t)
	w := &diskspace.Waiter{Pause: func(error) error { t.Fatal("paused"); return nil }}
	err := w.Do(func() error { return syscall.EIO })
	is.True(errors.Is(err, syscall.EIO))
	var none *diskspace.Waiter
	is.True(errors.Is(none.Do(func() error { return syscall.ENOSPC }), syscall.ENOSPC))
}
