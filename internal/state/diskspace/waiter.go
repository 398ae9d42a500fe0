package diskspace

import (
	"os"
	"syscall"

	"github.com/cockroachdb/errors"
)

// Waiter repeats writes that a full disk refuses; nil repeats none.
type Waiter struct {
	// Pause returns when a refused write may be tried again, or an error if it is to be given up.
	Pause func(refused error) error
}

// Do calls a write until a full disk no longer refuses it.
func (w *Waiter) Do(write func() error) error {
	for {
		err := write()
		if w == nil || !errors.Is(err, syscall.ENOSPC) {
			return err
		}
		if p := w.Pause(err); p != nil {
			return errors.CombineErrors(err, p)
		}
	}
}

// Append appends b to a file that is open for appending, as a whole: what a refused write has left of it is removed.
func Append(f *os.File, b []byte) error {
	i, err := f.Stat()
	if err != nil {
		return err
	}
	n, err := f.Write(b)
	if err == nil || n == 0 {
		return err
	}
	return errors.CombineErrors(err, f.Truncate(i.Size()))
}
