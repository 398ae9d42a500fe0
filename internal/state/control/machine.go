package control

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/memberset"
	"siskinrun/internal/state/message"
)

// runMachine is the goroutine that owns the state machine.
func (d *driver) runMachine(ctx context.Context) error {
	for {
		a, err := d.applies.Pop(ctx)
		if err != nil {
			return err
		}
		if a.install != nil {
			err = d.installSnapshot(a.install)
		} else {
			err = d.applyAll(a.entries)
		}
		if err != nil {
			return err
		}
	}
}

func (d *driver) applyAll(entries []logentry.Entry) error {
	for _, e := range entries {
		if e.Index <= d.applied {
			continue
		}
		if e.Index != d.applied+1 {
			return errors.Newf("group %d: entry %d to apply does not follow entry %d", d.group, e.Index, d.applied)
		}
		var outcome []byte
		switch e.Kind {
		case logentry.Command:
			outcome = d.machine.Apply(e.Index, e.Data)
		case logentry.MembershipChange:
			q, err := memberset.NewSet(e.Data)
			if err != nil {
				return err
			}
			d.members = q
		}
		d.logBytes += int64(e.Size())
		d.markApplied(e.Index, e.Term, outcome)
	}
	d.notify(func(time.Time) {})
	return d.snapshot(entries[len(entries)-1])
}

// snapshot takes a snapshot of the state machine once the log has grown enough.
func (d *driver) snapshot(last logentry.Entry) error {
	limit := d.control.SnapshotBytes
	if limit == 0 {
		limit = SnapshotBytes
	}
	if d.logBytes < limit || last.Index != d.appliedIndex() {
		return nil
	}
	d.logBytes = 0
	if err := d.storage.Snapshot(last.Index, last.Term, d.members, d.machine.Snapshot); err != nil {
		return err
	}
	d.notify(func(time.Time) {
		d.replica.Compact(last.Index, logTailEntries)
		d.compactTo = last.Index
	})
	return nil
}

// installSnapshot replaces the state machine's data by a received snapshot.
func (d *driver) installSnapshot(c *message.Message) error {
	if c.Index <= d.applied {
		d.notify(func(now time.Time) { d.replica.Installed(now, false) })
		return nil
	}
	err := d.storage.Restore(c.Index, func(r io.Reader) error { return d.machine.Restore(r) })
	if err != nil {
		return errors.Wrap(err, "restore the state machine from a snapshot")
	}
	d.members = c.Members
	d.logBytes = 0
	d.markInstalled(c.Index)
	d.notify(func(now time.Time) { d.replica.Installed(now, true) })
	return nil
}
