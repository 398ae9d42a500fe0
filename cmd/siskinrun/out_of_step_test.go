package main

import (
	"context"
	"fmt"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

// outOfStep is how long a host hears nothing of the others before streams break at it.
const outOfStep = 5500 * time.Millisecond

// outOfStepFleet is a fleet of two entry hosts with two workers of version v1, and a third one of which the first entry host
// has heard and to which it has no connection.
type outOfStepFleet struct {
	*platformFleet
	host                 string
	first, second, third *platformWorker
}

func newOutOfStepFleet(t *testing.T) (*outOfStepFleet, context.Context) {
	t.Helper()
	is := is.New(t)
	p, ctx := preparePlatformFleet(t, platformControl, platformHosts(2), `"keeps": ["configuration"],`)
	for _, h := range p.entries {
		p.configure(h, `"drain": "500ms"`, `"drain": "500ms", "heartbeat": "1200ms"`)
	}
	p.startAll(ctx, platformConfiguration)
	f := &outOfStepFleet{platformFleet: p, host: p.entries[0]}
	f.first, f.second = f.startStaying(ctx, "i-0"), f.startStaying(ctx, "i-1")
	f.await(ctx, "readiness", func() error { return f.ready(ctx) })
	is.NoErr(f.timer.Sleep(ctx, time.Second))
	return f, ctx
}

// startStaying starts a worker that has the same address after a restart.
func (f *outOfStepFleet) startStaying(ctx context.Context, id string) *platformWorker {
	w := &platformWorker{fleet: f.platformFleet, id: id, service: "lm", zone: "a", version: "v1", born: 1, alive: true, stays: true}
	w.pace = func(string, int) time.Duration { return 400 * time.Millisecond }
	f.run(ctx, w)
	return w
}

// begin opens streams at the first entry host and reads their first events.
func (f *outOfStepFleet) begin(ctx context.Context, name string) []*clientStream {
	f.t.Helper()
	is := is.New(f.t)
	var l []*clientStream
	for i := range versionStreams {
		s, err := f.open(ctx, f.host, streamRequest{id: fmt.Sprint(name, "-", i), patience: 20 * time.Second})
		is.NoErr(err)
		is.Equal(s.status, http.StatusOK)
		is.NoErr(s.read(1))
		l = append(l, s)
	}
	return l
}

// others sends a signal to all hosts but the first entry host.
func (f *outOfStepFleet) others(s syscall.Signal) {
	f.t.Helper()
	for _, h := range []string{platformControl, f.entries[1]} {
		is.New(f.t).NoErr(f.processes[h].Process.Signal(s))
	}
}

// part starts the third worker and suspends all hosts but the first entry host. The worker starts again with another version,
// of which that host hears nothing.
func (f *outOfStepFleet) part(ctx context.Context) {
	f.t.Helper()
	is := is.New(f.t)
	f.third = f.startStaying(ctx, "i-2")
	is.NoErr(f.timer.Sleep(ctx, 1200*time.Millisecond))
	f.others(syscall.SIGSTOP)
	f.third.crash()
	unheard, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	f.third.restart(unheard, "v2")
	is.NoErr(f.timer.Sleep(ctx, outOfStep))
}

// TestHostOutOfStepJoinsNoVersions guards against a host that hears nothing of the others while an upstream starts again under
// its ID and at its address with another version, and that then lets broken streams go on there.
func TestHostOutOfStepJoinsNoVersions(t *testing.T) {
	f, ctx := newOutOfStepFleet(t)
	l := f.begin(ctx, "step")
	f.part(ctx)
	f.first.crash()
	f.second.crash()
	g := group.NewGroup(ctx)
	for _, s := range l {
		g.Go("caller", func(context.Context) error {
			_ = s.read(workerEvents)
			return nil
		})
	}
	_ = g.Wait()
	n := mixed(l)
	t.Logf("%d of %d streams hold events of two versions; the restarted upstream ran %d", n, len(l), len(f.third.ran()))
	is.New(t).Equal(n, 0)
}

// TestHostOutOfStepRecordsNoWrongVersion guards against streams that begin at an upstream whose restart their host has not heard
// of, are recorded with its former version, and go on at another upstream of that version once they are taken up elsewhere.
func TestHostOutOfStepRecordsNoWrongVersion(t *testing.T) {
	f, ctx := newOutOfStepFleet(t)
	f.part(ctx)
	l := f.begin(ctx, "record")
	begun := len(f.third.ran())
	f.others(syscall.SIGCONT)
	is := is.New(t)
	is.NoErr(f.timer.Sleep(ctx, 1500*time.Millisecond))
	on := 0
	for i, s := range l {
		id := fmt.Sprint("record-", i)
		_ = s.body.Close()
		r, err := f.open(ctx, f.entries[1], streamRequest{id: id + "-b", resumes: id, after: s.last})
		is.NoErr(err)
		r.data = s.data
		if r.status == http.StatusOK && r.read(2) == nil {
			on++
		}
		_ = r.body.Close()
		l[i] = r
	}
	n := mixed(l)
	t.Logf("%d of %d streams went on, %d hold events of two versions; %d began at the restarted upstream", on, len(l), n, begun)
	is.Equal(n, 0)
}
