package control

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/effect"
	"siskinrun/internal/state/snapshot"
)

// maxWriteBatch bounds the queued writes that are taken at once.
const maxWriteBatch = 64

// runDisk is the goroutine that owns the disk; one sync covers all queued writes.
func (d *driver) runDisk(ctx context.Context) error {
	for {
		all, err := d.writes.PopBatch(ctx, maxWriteBatch)
		if err != nil {
			return err
		}
		var batch []effect.Effect
		for _, w := range all {
			if w.compactTo > 0 {
				if err := d.storage.Compact(w.compactTo); err != nil {
					return err
				}
				continue
			}
			batch = append(batch, w.effect)
			if w.effect.Chunk == nil {
				continue
			}
			if err := d.persist(ctx, batch); err != nil {
				return err
			}
			batch = nil
		}
		if err := d.persist(ctx, batch); err != nil {
			return err
		}
	}
}

// persist makes effects durable; only the last may hold a snapshot chunk.
func (d *driver) persist(ctx context.Context, batch []effect.Effect) error {
	if len(batch) == 0 {
		return nil
	}
	if err := d.storage.Write(batch); err != nil {
		return err
	}
	last := batch[len(batch)-1]
	if last.Chunk != nil {
		if err := d.receiveChunk(ctx, last); err != nil {
			return err
		}
	}
	writeID := uint64(0)
	for _, e := range batch {
		writeID = max(writeID, e.WriteID)
		d.control.send(d.group, e.SendAfterSync)
	}
	if writeID > 0 {
		d.notify(func(now time.Time) { d.replica.Persisted(now, writeID) })
	}
	return nil
}

func (d *driver) receiveChunk(ctx context.Context, e effect.Effect) error {
	done, err := d.storage.Receive(e.Chunk)
	if errors.Is(err, snapshot.ErrCorrupt) {
		d.control.Log.Warn().Err(err).Uint32("group", d.group).Msg("received snapshot rejected")
		d.notify(func(now time.Time) { d.replica.Installed(now, false) })
		return nil
	}
	if err != nil || !done {
		return err
	}
	return d.applies.Push(ctx, applyRequest{install: e.Chunk})
}
