package diskspace

import (
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
