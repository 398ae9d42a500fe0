package main

import (
	"context"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

// silentTime is how long a sound upstream is silent.
const silentTime = 1100 * time.Millisecond

// TestSilentUpstreamKeepsItsStreams guards against streams that run again elsewhere because their upstream was silent for a second.
func TestSilentUpstreamKeepsItsStreams(t *testing.T) {
	is := is.New(t)
	f, ctx := newLinkFleet(t)
	s := &strandedTraffic{linkFleet: f, name: "silent"}
	sending, stop := context.WithCancel(ctx)
	g := group.NewGroup(sending)
	g.Go("traffic", s.run)
	for i := range 3 {
		g.Go("more", func(ctx context.Context) error {
			m := &strandedTraffic{linkFleet: f, name: "more" + string(rune(97+i))}
			return m.send(ctx, streamPath, rand.New(rand.NewPCG(7, uint64(i))))
		})
	}
	var silences [][2]time.Time
	w := f.engines[0]
	for range 3 {
		is.NoErr(f.timer.Sleep(ctx, time.Second))
		from := f.timer.Now()
		for _, h := range f.entries {
			f.board.set(h, w.address, hang)
		}
		is.NoErr(f.timer.Sleep(ctx, silentTime))
		for _, h := range f.entries {
			f.board.set(h, w.address, sound)
		}
		silences = append(silences, [2]time.Time{from, f.timer.Now()})
	}
	is.NoErr(f.timer.Sleep(ctx, time.Second))
	stop()
	is.NoErr(g.Wait())
	runs := f.streamRuns()
	begun, doubled := 0, 0
	for _, r := range w.ran() {
		for _, p := range silences {
			if r.at.Before(p[0]) && r.at.After(p[0].Add(-workerEvents*workerStep)) {
				begun++
				if runs[r.id] > 1 {
					doubled++
				}
			}
		}
	}
	t.Logf("%d of %d streams that ran when their upstream fell silent were run again", doubled, begun)
	is.True(begun > 0)
	is.Equal(doubled, 0)
}
