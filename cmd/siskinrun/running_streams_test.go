package main

import (
	"context"
	"fmt"
	"io"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

const (
	// runningStreams is the number of streams of each kind that run when links are lost, after firstEvents each.
	runningStreams = 10
	firstEvents    = 3
	// tellPatience is how long callers wait for streams that may not be resumed.
	tellPatience = 3 * time.Second
	// goOnTime is the time in which a resumed stream must be whole.
	goOnTime = 2500 * time.Millisecond
	// silence is how long a worker may be silent and still be sound, after the event silentEvent of streams of silentPath.
	silence     = time.Second
	silentEvent = 6
	silentPath  = "silent"
)

// withSilence lets a worker be silent within streams of silentPath.
func withSilence(w *platformWorker) {
	w.pace = func(path string, event int) time.Duration {
		if strings.HasSuffix(path, silentPath) && event == silentEvent {
			return silence
		}
		return workerStep
	}
}

// runningStream is a stream and what its caller got.
type runningStream struct {
	id string
	*clientStream
	err  error
	took time.Duration
}

// whole reports whether the caller got all events and the end.
func (r *runningStream) whole() bool {
	return r.err == io.EOF && slices.Equal(r.data, wholeData())
}

// runStreams opens streams of a path at a host, calls cut once each has sent its first events, and reads them to their ends.
func (f *linkFleet) runStreams(ctx context.Context, t *testing.T, host, name, path string, cut func()) []*runningStream {
	t.Helper()
	is := is.New(t)
	l := make([]*runningStream, runningStreams)
	var begun sync.WaitGroup
	begun.Add(len(l))
	lost := make(chan struct{})
	g := group.NewGroup(ctx)
	for i := range l {
		l[i] = &runningStream{id: fmt.Sprint(name, strings.ReplaceAll(path, "/", "-"), i)}
		c, err := f.open(ctx, host, streamRequest{id: l[i].id, path: path, body: l[i].id, patience: tellPatience})
		is.NoErr(err)
		l[i].clientStream = c
		g.Go("stream", func(context.Context) error {
			defer func() { _ = c.body.Close() }()
			l[i].err = c.read(firstEvents)
			begun.Done()
			<-lost
			at := f.timer.Now()
			if l[i].err == nil {
				l[i].err = c.read(workerEvents)
			}
			l[i].took = f.timer.Now().Sub(at)
			return nil
		})
	}
	begun.Wait()
	cut()
	close(lost)
	is.NoErr(g.Wait())
	return l
}

// TestRunningStreamsGoOnWhenTheirHostLosesItsLinks guards against streams that end with the links of their host though another
// host reaches upstreams, and against ones that look whole without being so.
func TestRunningStreamsGoOnWhenTheirHostLosesItsLinks(t *testing.T) {
	f, ctx := startLinkFleet(t, linkSetup{hosts: carriedHosts, engine: withSilence})
	h := f.entries[0]
	s := &strandedTraffic{linkFleet: f, name: "beside"}
	sending, stop := context.WithCancel(ctx)
	g := group.NewGroup(sending)
	g.Go("traffic", s.run)
	is.New(t).NoErr(f.timer.Sleep(ctx, beforeCut))
	for _, l := range []link{hang, resets, refuse, deaf} {
		for _, path := range []string{streamPath + "1", tellPath + "1"} {
			t.Run(fmt.Sprint(l, path), func(t *testing.T) {
				streams := f.runStreams(ctx, t, h, string(l), path, func() { f.cut(l, h) })
				f.restore(h)
				for _, s := range streams {
					if s.err == io.EOF && !s.whole() {
						t.Errorf("%s looks whole: %v", s.id, s.data)
					}
					if (l == refuse || strings.HasPrefix(path, streamPath)) && (!s.whole() || s.took > goOnTime) {
						t.Errorf("%s did not go on: %d events in %v: %v", s.id, s.last, s.took, s.err)
					}
				}
				is.New(t).NoErr(f.timer.Sleep(ctx, contact))
			})
		}
	}
	stop()
	is.New(t).NoErr(g.Wait())
	s.checkRuns(t)
}

// TestSilentUpstreamIsNotTakenForALostLink guards against streams that are cut, or run twice, since their worker is silent for a
// second.
func TestSilentUpstreamIsNotTakenForALostLink(t *testing.T) {
	f, ctx := startLinkFleet(t, linkSetup{hosts: carriedHosts, engine: withSilence})
	h := f.entries[0]
	for _, c := range []struct {
		name        string
		before, cut func()
	}{
		{"with all links", func() {}, func() {}},
		{"through another host", func() { f.cut(refuse, h) }, func() {}},
		{"over the connections that it has", func() {}, func() { f.cut(refuse, h) }},
	} {
		for _, path := range []string{streamPath, tellPath} {
			t.Run(c.name+path, func(t *testing.T) {
				c.before()
				streams := f.runStreams(ctx, t, h, c.name, path+silentPath, c.cut)
				runs := f.streamRuns()
				for _, s := range streams {
					if !s.whole() || runs[s.id] != 1 {
						t.Errorf("%s: %d events in %v: %v, %d runs", s.id, s.last, s.took, s.err, runs[s.id])
					}
				}
				f.restore(h)
				is.New(t).NoErr(f.timer.Sleep(ctx, contact))
			})
		}
	}
}
