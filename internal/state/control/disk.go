package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/effect"
	"siskinrun/internal/state/snapshot"
)

const writeBatch = 64

// write is the goroutine that owns the disk; one sync covers all that waits.
func (u *unit) write(ctx context.Context) error {
	for {
		all, err := u.writes.PopAll(ctx, writeBatch)
		if err != nil {
			return err
		}
		var batch []effect.Effect
		for _, w := range all {
			if w.compact > 0 {
				if err := u.storage.Compact(w.compact); err != nil {
					return err
				}
				continue
			}
			batch = append(batch, w.effect)
			if w.effect.Chunk == nil {
				continue
			}
			if err := u.persist(ctx, batch); err != nil {
				return err
			}
			batch = nil
		}
		if err := u.persist(ctx, batch); err != nil {
			return err
		}
	}
}

// persist makes effects durable, of which only the last may hold a part of a snapshot.
func (u *unit) persist(ctx context.Context, batch []effect.Effect) error {
	if len(batch) == 0 {
		return nil
	}
	if err := u.storage.Write(batch); err != nil {
		return err
	}
	last := batch[len(batch)-1]
	if last.Chunk != nil {
		if err := u.receive(ctx, last); err != nil {
			return err
		}
	}
	mark := uint64(0)
	for _, e := range batch {
		mark = max(mark, e.Mark)
		u.control.send(u.group, e.After)
	}
	if mark > 0 {
		u.notify(func(now time.Time) { u.replica.Persisted(now, mark) })
	}
	return nil
}

func (u *unit) receive(ctx context.Context, e effect.Effect) error {
	done, err := u.storage.Receive(e.Chunk)
	if errors.Is(err, snapshot.ErrCorrupt) {
		u.control.Log.Warn().Err(err).Uint32("group", u.group).Msg("snapshot refused")
		u.notify(func(now time.Time) { u.replica.Installed(now, false) })
		return nil
	}
	if err != nil || !done {
		return err
	}
	return u.applies.Push(ctx, apply{install: e.Chunk})
}
