package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

const (
	// versionStreams is the number of streams of each case, and eventsBeforeFault what their clients read before it.
	versionStreams    = 24
	eventsBeforeFault = 5
)

// versionFleet is a fleet with three workers of each of two versions.
type versionFleet struct {
	*platformFleet
	workers map[string]*platformWorker
}

func newVersionFleet(t *testing.T) (*versionFleet, context.Context) {
	t.Helper()
	f, ctx := newPlatformFleet(t)
	v := &versionFleet{f, map[string]*platformWorker{}}
	for i := range 6 {
		id := fmt.Sprint("i-", i)
		v.workers[id] = f.startWorker(ctx, id, fmt.Sprint("v", 1+i%2))
	}
	f.await(ctx, "readiness", func() error { return f.ready(ctx) })
	is.New(t).NoErr(f.timer.Sleep(ctx, time.Second)) // all hosts have heard of all workers
	return v, ctx
}

// begin opens streams at a host and reads their first events.
func (f *versionFleet) begin(ctx context.Context, host, name string) []*clientStream {
	f.t.Helper()
	is := is.New(f.t)
	var l []*clientStream
	for i := range versionStreams {
		s, err := f.open(ctx, host, streamRequest{id: fmt.Sprint(name, "-", i)})
		is.NoErr(err)
		is.Equal(s.status, http.StatusOK)
		l = append(l, s)
	}
	for _, s := range l {
		is.NoErr(s.read(eventsBeforeFault))
	}
	return l
}

// takeUp takes broken streams up at a host, reads n events of each and returns those that went on.
func (f *versionFleet) takeUp(ctx context.Context, host, name, suffix string, l []*clientStream, n int) []*clientStream {
	f.t.Helper()
	var on []*clientStream
	for i, s := range l {
		id := fmt.Sprint(name, "-", i)
		r, err := f.open(ctx, host, streamRequest{id: id + suffix, resumes: id, after: s.last})
		is.New(f.t).NoErr(err)
		r.data = s.data
		l[i] = r
		if r.status != http.StatusOK {
			_ = r.body.Close()
			continue
		}
		if err := r.read(n); err == nil || err == io.EOF {
			on = append(on, r)
		}
	}
	return on
}

// mixed returns how many of the streams hold events of two versions.
func mixed(l []*clientStream) int {
	n := 0
	for _, s := range l {
		seen := map[string]bool{}
		for _, d := range s.data {
			v, _, _ := strings.Cut(d, "-")
			seen[v] = true
		}
		if len(seen) > 1 {
			n++
		}
	}
	return n
}

// TestStreamHoldsEventsOfOneVersion guards against streams that go on at an upstream of another software version.
func TestStreamHoldsEventsOfOneVersion(t *testing.T) {
	f, ctx := newVersionFleet(t)
	t.Run("inside one answer", func(t *testing.T) {
		is := is.New(t)
		l := f.begin(ctx, platformEntries[0], "inside")
		f.workers["i-0"].crash()
		whole := 0
		for _, s := range l {
			if s.read(workerEvents) == io.EOF && s.last == workerEvents {
				whole++
			}
		}
		is.Equal(mixed(l), 0)
		is.True(whole >= versionStreams*3/4)
	})
	t.Run("taken up twice", func(t *testing.T) {
		is := is.New(t)
		l := f.begin(ctx, platformEntries[0], "twice")
		f.kill(platformEntries[0])
		on := f.takeUp(ctx, platformEntries[1], "twice", "-b", l, 3)
		is.True(len(on) >= versionStreams*3/4)
		for _, s := range l {
			_ = s.body.Close()
		}
		on = f.takeUp(ctx, platformEntries[2], "twice", "-c", l, workerEvents)
		is.True(len(on) >= versionStreams*3/4)
		is.Equal(mixed(l), 0)
	})
	t.Run("unknown attempt", func(t *testing.T) {
		is := is.New(t)
		n := f.timer.Now()
		s, err := f.open(ctx, platformEntries[1], streamRequest{id: "unknown-b", resumes: "unknown", after: 3})
		is.NoErr(err)
		_ = s.body.Close()
		is.Equal(s.status, http.StatusServiceUnavailable)
		is.True(f.timer.Now().Sub(n) < time.Second)
		f.checkNotRun(t, "unknown-b")
	})
	t.Run("version gone", func(t *testing.T) {
		is := is.New(t)
		l := f.begin(ctx, platformEntries[1], "gone")
		for _, w := range f.workers {
			if w.version == "v1" {
				w.crash()
			}
		}
		n := f.timer.Now()
		for _, s := range l {
			_ = s.read(workerEvents)
			_ = s.body.Close()
		}
		is.Equal(mixed(l), 0)
		f.takeUp(ctx, platformEntries[2], "gone", "-b", l, workerEvents)
		is.Equal(mixed(l), 0)
		is.True(f.timer.Now().Sub(n) < 10*time.Second)
	})
}

// checkNotRun fails the test if a worker ran an attempt.
func (f *versionFleet) checkNotRun(t *testing.T, id string) {
	t.Helper()
	for _, w := range f.workers {
		for _, r := range w.ran() {
			if r.id == id {
				t.Errorf("worker %s ran %s", w.id, id)
			}
		}
	}
}
