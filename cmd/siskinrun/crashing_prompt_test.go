package main

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

const (
	deadlyPart = "dead01"
	// crashWorkers is the number of workers, each back workerReturn after it has crashed.
	crashWorkers = 6
	workerReturn = time.Second
	// crashesBorne is the number of crashes after which the part must be known, and learning the time to tell all hosts.
	crashesBorne = 5
	learning     = 3 * time.Second
	// maxLateSends is the number of requests with the part that may still reach workers after that.
	maxLateSends = 3
	// crashTime is many times what the crashes that are borne take if nothing stops them.
	crashTime = 8 * time.Second
)

// TestPromptThatCrashesUpstreamsIsStopped guards against requests that share one part ending one upstream after the other.
func TestPromptThatCrashesUpstreamsIsStopped(t *testing.T) {
	is := is.New(t)
	p, ctx := newPlatformFleet(t)
	f := &crashFleet{platformFleet: p}
	f.startWorkers(ctx)
	f.await(ctx, "readiness", func() error { return f.ready(ctx) })
	sound := &traffic{fleet: f, name: "sound", every: 15 * time.Millisecond, prompt: func(n int) string {
		return fmt.Sprintf("caller:100,topic%d:50,s%d:10", n%5, n)
	}}
	deadly := &traffic{fleet: f, name: "deadly", every: 150 * time.Millisecond, prompt: func(n int) string {
		if n%2 == 0 {
			return fmt.Sprintf("caller:100,%s:%d,topic%d:50,d%d:10", deadlyPart, n, n%5, n)
		}
		return fmt.Sprintf("caller:100,topic%d:50,%s:7,d%d:10", n%5, deadlyPart, n)
	}}
	traffic, stop := context.WithCancel(ctx)
	g := group.NewGroup(traffic)
	g.Go("sound", sound.run)
	g.Go("deadly", deadly.run)
	f.awaitCrashes(ctx)
	is.NoErr(f.timer.Sleep(ctx, 2*learning))
	s0, a0 := sound.counts()
	f.kill(platformEntries[1])
	is.NoErr(f.timer.Sleep(ctx, 200*time.Millisecond))
	f.start(platformEntries[1])
	is.NoErr(f.timer.Sleep(ctx, 6*time.Second))
	s1, a1 := sound.counts()
	stop()
	_ = g.Wait()
	t.Logf("%d crashes, %d late sends, %d of %d sound requests begun after them, statuses %v and %v",
		len(f.crashes.ended), f.crashes.late(), a1-a0, s1-s0, sound.statuses, deadly.statuses)
	is.True(f.crashes.late() <= maxLateSends)
	is.True(2*(a1-a0) >= s1-s0)
}
