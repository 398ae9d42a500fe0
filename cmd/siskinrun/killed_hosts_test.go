package main

import (
	"context"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

// TestKilledHostsLoseNoItem kills and restarts entry and control hosts in a fixed order while a batch job runs. No item
// may be lost, run to two results or answered wrongly, and all hosts must return the same results.
func TestKilledHostsLoseNoItem(t *testing.T) {
	is := is.New(t)
	f, ctx := runFleet(t)
	l := f.generator()
	f.waitUntil(ctx, "start", func() error { return l.CheckReady(ctx) })
	k := group.NewGroup(ctx)
	k.Go("kill", func(ctx context.Context) error {
		for _, n := range []string{"entry-3", "control-0", "entry-5", "control-1", "control-2", "entry-4"} {
			if err := f.timer.Sleep(ctx, killInterval); err != nil {
				return err
			}
			f.kill(n)
			if err := f.timer.Sleep(ctx, killInterval); err != nil {
				return err
			}
			f.start(n)
		}
		return nil
	})
	s, err := l.Run(ctx)
	is.NoErr(err)
	is.NoErr(k.Wait())
	is.Equal(s.Batch.Completed, batchItems-batchItems/impossibleEvery)
	is.Equal(s.Batch.Failed, batchItems/impossibleEvery)
	for _, v := range s.Faults {
		// An online call may be cut off when its host is killed, but no item may be lost, duplicated or wrong.
		is.True(!strings.HasPrefix(v, "item"))
	}
	f.waitUntil(ctx, "return of the hosts", func() error { return l.CheckReady(ctx) })
	is.NoErr(l.CheckSameResults(ctx))
}
