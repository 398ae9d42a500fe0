package diskspace

import (
	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/filesystem"
)

// Append appends b as a whole to a file, which the given function opens and passes to use for each try, and waits while the disk is full.
// What a refused try has left is removed at once or, where the full disk refuses that too, before the next try; it stays only if the
// write is given up. Nothing else may be appended to the file meanwhile.
func (w *Waiter) Append(b []byte, open func(use func(f filesystem.File) error) error) error {
	a := &appending{bytes: b}
	return w.Do(func() error { return open(a.try) })
}

// appending is an append that is tried until it succeeds.
type appending struct {
	bytes []byte
	// begun says that the file was looked at, and start is the size that it had then.
	begun bool
	start int64
}

// try writes the bytes behind what the file held at the first try.
func (a *appending) try(f filesystem.File) error {
	i, err := f.Stat()
	if err != nil {
		return err
	}
	if !a.begun {
		a.begun, a.start = true, i.Size()
	}
	if i.Size() > a.start {
		if err := f.Truncate(a.start); err != nil {
			return err
		}
	}
	n, err := f.Write(a.bytes)
	if err == nil || n == 0 {
		return err
	}
	return errors.CombineErrors(err, f.Truncate(a.start))
}
