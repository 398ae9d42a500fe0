package control

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/message"
	"siskinrun/internal/state/quorum"
)

// apply is the goroutine that owns the machine.
func (u *unit) apply(ctx context.Context) error {
	for {
		a, err := u.applies.Pop(ctx)
		if err != nil {
			return err
		}
		if a.install != nil {
			err = u.install(a.install)
		} else {
			err = u.applyAll(a.entries)
		}
		if err != nil {
			return err
		}
	}
}

func (u *unit) applyAll(entries []logentry.Entry) error {
	for _, e := range entries {
		if e.Index <= u.applied {
			continue
		}
		if e.Index != u.applied+1 {
			return errors.Newf("group %d: entry %d is applied after %d", u.group, e.Index, u.applied)
		}
		var outcome []byte
		switch e.Kind {
		case logentry.Command:
			outcome = u.machine.Apply(e.Index, e.Data)
		case logentry.Change:
			q, err := quorum.NewQuorum(e.Data)
			if err != nil {
				return err
			}
			u.quorum = q
		}
		u.bytes += int64(e.Size())
		u.reach(e.Index, e.Term, outcome)
	}
	u.notify(func(time.Time) {})
	return u.snapshot(entries[len(entries)-1])
}

// snapshot saves the machine once the log has grown enough.
func (u *unit) snapshot(last logentry.Entry) error {
	limit := u.control.SnapshotBytes
	if limit == 0 {
		limit = SnapshotBytes
	}
	if u.bytes < limit || last.Index != u.reached() {
		return nil
	}
	u.bytes = 0
	if err := u.storage.Snapshot(last.Index, last.Term, u.quorum, u.machine.Snapshot); err != nil {
		return err
	}
	u.notify(func(time.Time) {
		u.replica.Compact(last.Index, keptEntries)
		u.compact = last.Index
	})
	return nil
}

// install replaces the machine by a snapshot that has been received.
func (u *unit) install(c *message.Message) error {
	if c.Index <= u.applied {
		u.notify(func(now time.Time) { u.replica.Installed(now, false) })
		return nil
	}
	err := u.storage.Restore(c.Index, func(r io.Reader) error { return u.machine.Restore(r) })
	if err != nil {
		return errors.Wrap(err, "restore the machine")
	}
	u.quorum = c.Quorum
	u.bytes = 0
	u.skip(c.Index)
	u.notify(func(now time.Time) { u.replica.Installed(now, true) })
	return nil
}
