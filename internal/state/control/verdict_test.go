package control_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"siskinrun/internal/base/group"
	"siskinrun/internal/state/proposal"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// verdictCounts counts the verdicts that proposers got.
type verdictCounts struct {
	ran     atomic.Int64
	unknown atomic.Int64
	notRun  atomic.Int64
}

func (t *verdictCounts) add(err error) {
	switch r := refusal.Of(err); {
	case r == nil:
		t.ran.Add(1)
	case r.Verdict == verdict.MayHaveRun:
		t.unknown.Add(1)
	default:
		t.notRun.Add(1)
	}
}

func TestVerdictsAreCorrectWhileHostsRestart(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 1, "a", "b", "c")
	entry := f.start("spare", t.TempDir(), 1)
	f.leader(0)
	var count verdictCounts
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	g := group.NewGroup(ctx)
	for range 8 {
		c := &proposal.Client{Link: entry.control.Link, Hosts: f.names, Timer: entry.control.Timer}
		g.Go("proposer", func(ctx context.Context) error {
			for ctx.Err() == nil {
				limit, stop := context.WithTimeout(context.Background(), 2*time.Second)
				_, err := c.Propose(limit, 0, make([]byte, 50))
				stop()
				count.add(err)
			}
			return nil
		})
	}
	for _, n := range []string{"a", "b", "c", "a"} {
		f.hosts[n].stop()
		for range 25 {
			pause()
		}
		f.start(n, f.hosts[n].folder, 1)
		f.leader(0)
	}
	cancel()
	if err := g.Wait(); err != nil {
		t.Fatal(err)
	}
	f.checkVerdicts(&count)
}

// checkVerdicts checks that the state of every host agrees with the verdicts.
func (f *fleet) checkVerdicts(t *verdictCounts) {
	least, most := uint64(t.ran.Load()), uint64(t.ran.Load()+t.unknown.Load())
	f.t.Logf("%d ran, %d unknown, %d not run", t.ran.Load(), t.unknown.Load(), t.notRun.Load())
	for _, n := range f.names {
		if _, err := f.hosts[n].client.Confirm(testContext(f.t), 0); err != nil {
			f.t.Fatal(err)
		}
		if v := f.hosts[n].counters[0].value(); v < least || v > most {
			f.t.Fatalf("%s has applied %d commands, the verdicts allow %d to %d", n, v, least, most)
		}
	}
	if least == 0 {
		f.t.Fatal("no proposal ran")
	}
}
