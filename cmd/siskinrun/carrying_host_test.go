package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

// carriedCalls is the number of calls of each kind that run when the host that carries them ends.
const carriedCalls = 8

// endCarrier sends calls of a kind to a host and ends the hosts that carry them by a signal while the calls run.
func (f *linkFleet) endCarrier(ctx context.Context, t *testing.T, kind string, end os.Signal, carriers ...string) []firstTry {
	t.Helper()
	is := is.New(t)
	l := make([]firstTry, carriedCalls)
	g := group.NewGroup(ctx)
	for i := range l {
		l[i] = firstTry{id: fmt.Sprint("slow-", end, kind[1:len(kind)-1], i), kind: kind, host: f.entries[0]}
		g.Go("call", func(ctx context.Context) error {
			f.call(ctx, &l[i])
			return nil
		})
	}
	is.NoErr(f.timer.Sleep(ctx, 150*time.Millisecond))
	for _, c := range carriers {
		is.NoErr(f.processes[c].Process.Signal(end))
	}
	is.NoErr(g.Wait())
	for _, c := range carriers {
		f.kill(c)
	}
	runs := f.streamRuns()
	for _, y := range l {
		n := runs[y.id] + f.ranPlain(y.id)
		t.Logf("%s: %s, %d runs", y.id, y.outcome, n)
		if y.status == http.StatusServiceUnavailable && n > 0 {
			t.Errorf("%s was refused (%s) and ran %d times", y.id, y.outcome, n)
		}
		if strings.Contains(y.outcome, "upstream-lost") {
			t.Errorf("%s: %s, though no upstream was lost", y.id, y.outcome)
		}
		if n > 1 && kind != streamPath {
			t.Errorf("%s ran %d times", y.id, n)
		}
	}
	return l
}

// startCarriers starts ended hosts again and waits until a host serves.
func (f *linkFleet) startCarriers(ctx context.Context, host string, carriers ...string) {
	f.t.Helper()
	for _, c := range carriers {
		f.start(c)
	}
	for _, h := range append(carriers, host) {
		f.awaitServing(ctx, h)
	}
}

// TestCallsWhoseCarryingHostEndsAreToldTheTruth guards against calls that run twice, or are said not to have run, when the host
// that carries them ends, streams that do not go on through another, and upstreams that are blamed for it.
func TestCallsWhoseCarryingHostEndsAreToldTheTruth(t *testing.T) {
	f, ctx := startLinkFleet(t, linkSetup{hosts: 3, apart: 2})
	h, a, b := f.entries[0], f.entries[1], f.entries[2]
	f.cut(hang, h)
	f.awaitServing(ctx, h)
	t.Run("calls that may run once", func(t *testing.T) {
		for _, y := range f.endCarrier(ctx, t, singlePath, syscall.SIGKILL, a, b) {
			if y.status != http.StatusBadGateway && y.status != http.StatusGatewayTimeout {
				t.Errorf("%s: %s", y.id, y.outcome)
			}
		}
	})
	f.startCarriers(ctx, h, a, b)
	t.Run("streams that may run once", func(t *testing.T) {
		for _, y := range f.endCarrier(ctx, t, tellPath, syscall.SIGKILL, a, b) {
			if y.served || y.whole {
				t.Errorf("%s looks whole: %s", y.id, y.outcome)
			}
		}
	})
	f.startCarriers(ctx, h, a, b)
	t.Run("streams that may be resumed", func(t *testing.T) {
		for _, y := range f.endCarrier(ctx, t, streamPath, syscall.SIGKILL, a) {
			if !y.served {
				t.Errorf("%s did not go on: %s", y.id, y.outcome)
			}
		}
	})
	f.startCarriers(ctx, h, a)
	t.Run("calls whose carrying hosts are stopped", func(t *testing.T) {
		for _, y := range f.endCarrier(ctx, t, singlePath, syscall.SIGTERM, a, b) {
			if !y.served {
				t.Errorf("%s: %s", y.id, y.outcome)
			}
		}
	})
	t.Run("calls that no host carries", func(t *testing.T) {
		for _, k := range strandedKinds {
			y := firstTry{id: "none-" + k[1:len(k)-1], kind: k, host: h}
			f.call(ctx, &y)
			is.New(t).Equal(y.status, http.StatusServiceUnavailable)
			is.New(t).Equal(f.streamRuns()[y.id]+f.ranPlain(y.id), 0)
		}
	})
}
