package distribution_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/configuration"
)

// Guards against a host that misses a version, goes back to an older one or counts as fresh before a confirmation.
func TestVersionsReachEveryHost(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3)
	var mu sync.Mutex
	seen := map[string]uint64{}
	for n, s := range f.hosts {
		s.Subscribe(func(c *configuration.Configuration) {
			mu.Lock()
			defer mu.Unlock()
			if c.Version < seen[n] {
				t.Errorf("%s went from %d to %d", n, seen[n], c.Version)
			}
			seen[n] = c.Version
		})
		is.True(!s.Fresh())
	}
	f.run(t)
	for v := range uint64(20) {
		f.change(v)
	}
	f.await(t, 20, "")
	for _, s := range f.hosts {
		is.True(s.Fresh())
		is.Equal(s.View().Teams["t"].Rate, int64(20))
	}
	l, err := f.hosts["b2"].Versions(context.Background(), 3)
	is.NoErr(err)
	is.Equal(l[0].Version, uint64(20))
	d, err := f.hosts["b2"].Diff(context.Background(), 1, 20)
	is.NoErr(err)
	is.Equal(d[0].Field, "teams.t.rate")
}

// Guards against a failure domain that stops receiving versions because its relay is unreachable.
func TestUnreachableRelayIsSkipped(t *testing.T) {
	f := newFleet(3, 3)
	f.run(t)
	f.change(0)
	f.await(t, 1, "")
	f.network.isolate("a1", true)
	f.change(1)
	f.await(t, 2, "a1")
	if f.hosts["a1"].View().Version != 1 {
		t.Fatal("an isolated host received a new version")
	}
	f.network.isolate("a1", false)
	f.await(t, 2, "")
}

// BenchmarkControlShare measures, on the machine's clock, the share of pulls that control hosts answer among 320 hosts.
func BenchmarkControlShare(b *testing.B) {
	f := newFleet(10, 32)
	f.run(b)
	f.change(0)
	f.await(b, 1, "")
	f.change(1)
	f.await(b, 2, "")
	before, sum := f.answerCounts()
	for v := uint64(2); v < 8; v++ {
		f.change(v)
		f.await(b, v+1, "")
	}
	after, total := f.answerCounts()
	control, all := after-before, total-sum
	b.ReportMetric(float64(control)/float64(all), "control-share")
}

func FuzzPeerBytes(f *testing.F) {
	f.Add([]byte("\x08\x01\x10\x80\x94\xeb\xdc\x03"))
	f.Add([]byte("\x08\x02\x10\x01\x18\x05\x2a\x0f{\"from\":0,\"to\":2}"))
	f.Fuzz(func(t *testing.T, b []byte) {
		l := newFleet(1, 2)
		l.network.handlers["a0 spread/pull"] = func(context.Context, string, []byte) ([]byte, error) { return b, nil }
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_ = l.hosts["a1"].Run(ctx)
		for _, m := range []string{"pull", "versions", "diff", "status"} {
			_, _ = l.network.handlers["a0 spread/"+m](ctx, "a1", b)
		}
		if l.hosts["a1"].View() == nil {
			t.Fatal("no view")
		}
	})
}

// Guards against an isolated host that admits keyed requests past its lease: it cannot learn of withdrawn keys.
func TestIsolatedHostRefusesOnceItsLeaseEnds(t *testing.T) {
	is := is.New(t)
	f := newFleet(3, 3)
	f.run(t)
	f.change(0)
	f.await(t, 1, "")
	f.network.isolate("b1", true)
	isolated, start := f.hosts["b1"], f.timer.Now()
	is.True(isolated.Fresh())
	ctx := context.Background()
	for isolated.Fresh() && f.timer.Now().Sub(start) < testTimeout {
		is.NoErr(f.timer.Sleep(ctx, 10*time.Millisecond))
	}
	is.True(f.timer.Now().Sub(start) <= isolated.Lease+isolated.Lease/20)
	is.True(f.hosts["b2"].Fresh())
	is.Equal(isolated.View().Version, uint64(1))
	f.network.isolate("b1", false)
	for !isolated.Fresh() && f.timer.Now().Sub(start) < testTimeout {
		is.NoErr(f.timer.Sleep(ctx, 10*time.Millisecond))
	}
	is.True(isolated.Fresh())
}
