package main

import (
	"bytes"
	"context"
	"fmt"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/logwriter"
	"siskinrun/internal/product/server"
	"siskinrun/internal/product/settings"
	"siskinrun/platform"
	"siskinrun/platform/wire"
)

const (
	linkHosts = 9
	// linkEngines is the number of workers for streams, and linkDesks of those for other calls.
	linkEngines = 12
	linkDesks   = 3
	// tellPath is the path of streams that may not be resumed, and singlePath that of calls that may run once.
	tellPath   = "/tell/"
	singlePath = "/single/"
	openPath   = "/open/"
	// keyedPath is the path of streams of callers with keys.
	keyedPath = "/keyed/"
)

// linkNetwork is the prefix of the addresses of the hosts of a linkFleet.
var linkNetwork = reserveNetwork(18)

const linkConfiguration = `{"version": 8, "routes": [
  {"name": "ask", "host": "` + streamHost + `", "path_prefix": "` + streamPath + `", "route_type": "streaming",
    "timeout_ms": 8000, "target_latency_ms": 300, "service": "lm", "max_attempts": 3, "public": true, "sticky": true,
    "resumable": true, "gap_target_ms": 400},
  {"name": "tell", "host": "` + streamHost + `", "path_prefix": "` + tellPath + `", "route_type": "streaming",
    "timeout_ms": 8000, "target_latency_ms": 300, "service": "lm", "max_attempts": 3, "public": true, "sticky": true,
    "resumable": false, "gap_target_ms": 400},
  {"name": "open", "host": "` + streamHost + `", "path_prefix": "` + openPath + `", "route_type": "idempotent",
    "timeout_ms": 4000, "target_latency_ms": 800, "service": "desk", "max_attempts": 3, "public": true},
  {"name": "single", "host": "` + streamHost + `", "path_prefix": "` + singlePath + `", "route_type": "non_idempotent",
    "timeout_ms": 4000, "target_latency_ms": 800, "service": "desk", "max_attempts": 3, "public": true},
  {"name": "keyed", "host": "` + streamHost + `", "path_prefix": "` + keyedPath + `", "route_type": "streaming",
    "timeout_ms": 8000, "target_latency_ms": 300, "service": "lm", "max_attempts": 3, "resumable": false, "gap_target_ms": 400},
  {"name": "lots", "host": "` + streamHost + `", "path_prefix": "` + lotsPath + `", "route_type": "batch", "timeout_ms": 4000,
    "target_latency_ms": 1000, "service": "bulk", "max_attempts": 2, "completion_target_ms": 20000, "max_wait_s": 50}],
  "services": [{"name": "lm", "health_path": "/healthz", "max_conns": 200, "protocol": "h1", "engine": {"slots": 8}},
    {"name": "desk", "health_path": "` + plainHealthPath + `", "max_conns": 400, "protocol": "h1"},
    {"name": "bulk", "health_path": "` + plainHealthPath + `", "max_conns": 400, "protocol": "h1", "engine": {"slots": 8}}],
  "limits": {}, "tenants": [{"name": "team0", "api_keys": ["key-team0"]}]}`

// linkFleet is a fleet whose entry hosts run in this process, so that their links to upstreams can be lost.
type linkFleet struct {
	*plainFleet
	linkSetup
	board   *switchboard
	engines []*platformWorker

	runsMu sync.Mutex
	// runs holds the current run of each host.
	runs map[string]*hostRun
}

// hostRun is a run of a host in this process.
type hostRun struct {
	// stop tells the host to stop, as SIGTERM does.
	stop context.CancelFunc
	// ended is closed when the host has stopped.
	ended chan struct{}
}

// linkSetup describes a linkFleet.
type linkSetup struct {
	// hosts is the number of entry hosts, of which the last ones run as processes of their own.
	hosts, apart int
	// tune, if set, changes the settings of the hosts in this process, and engine the workers for streams.
	tune   func(s *settings.Settings)
	engine func(w *platformWorker)
}

// newLinkFleet starts a control host, entry hosts in three failure domains and workers, and returns once all hosts serve.
func newLinkFleet(t *testing.T) (*linkFleet, context.Context) {
	t.Helper()
	return startLinkFleet(t, linkSetup{hosts: linkHosts})
}

// startLinkFleet starts a fleet with workers and returns once all hosts serve.
func startLinkFleet(t *testing.T, s linkSetup) (*linkFleet, context.Context) {
	t.Helper()
	f, ctx := startLinkHosts(t, s)
	f.await(ctx, "configuration", func() error { return f.post(ctx, wire.PathConfigReplace, linkConfiguration) })
	for i := range linkEngines {
		w := &platformWorker{
			fleet: f.platformFleet, id: fmt.Sprint("e-", i), service: "lm", zone: string(rune('a' + i%len(platformEntries))),
			version: "v1", born: 1, alive: true,
		}
		if s.engine != nil {
			s.engine(w)
		}
		f.engines = append(f.engines, w)
		f.run(ctx, w)
	}
	for i := range linkDesks {
		f.startPlain(ctx, i, 0)
	}
	for _, h := range f.entries {
		f.awaitServing(ctx, h)
	}
	is.New(t).NoErr(f.timer.Sleep(ctx, time.Second)) // all hosts have heard of all workers
	return f, ctx
}

// startLinkHosts starts the hosts of a fleet.
func startLinkHosts(t *testing.T, s linkSetup) (*linkFleet, context.Context) {
	t.Helper()
	var hosts []string
	for i := range s.hosts {
		hosts = append(hosts, fmt.Sprint(linkNetwork, 31+i))
	}
	p, ctx := preparePlatformFleet(t, linkNetwork+"11", hosts, "")
	f := &linkFleet{plainFleet: p.newPlain(ctx, plainSetup{}), linkSetup: s, board: newSwitchboard(), runs: map[string]*hostRun{}}
	t.Cleanup(f.board.end) // before the hosts stop
	f.serve(f.control)
	for _, h := range hosts[:s.hosts-s.apart] {
		f.serve(h)
	}
	if s.apart > 0 {
		f.program = buildProgram(t)
	}
	for _, h := range hosts[s.hosts-s.apart:] {
		f.start(h)
	}
	return f, ctx
}

// serve runs a host in this process until it is told to stop or the test ends.
func (f *linkFleet) serve(host string) {
	f.t.Helper()
	load := func() (*settings.Settings, error) {
		s, err := settings.Load(filepath.Join(f.folder, host+".json"), "")
		if err != nil {
			return nil, err
		}
		s.Limits.MemoryBytes = 0 // the limit is one of the process
		if f.tune != nil {
			f.tune(s)
		}
		return s, nil
	}
	is := is.New(f.t)
	s, err := load()
	is.NoErr(err)
	is.NoErr(s.ReadSecrets())
	f.inside[host] = true
	if f.logs[host] == nil {
		f.logs[host] = &bytes.Buffer{}
	}
	l := &logwriter.Writer{Out: f.logs[host]}
	h := &server.Server{
		LogWriter: l, Dialect: platform.NewDialect(), Name: host, Settings: s, Reload: load, DialUpstream: f.board.dialer(host),
		Log: zerolog.New(l).Level(zerolog.WarnLevel).With().Timestamp().Str("host", host).Logger(),
	}
	running, stop := context.WithCancel(f.group.Context())
	r := &hostRun{stop: stop, ended: make(chan struct{})}
	f.runsMu.Lock()
	f.runs[host] = r
	f.runsMu.Unlock()
	f.group.Go(host, func(context.Context) error {
		defer close(r.ended)
		if err := h.Run(running); err != nil {
			f.t.Errorf("%s: %v", host, err)
		}
		return nil
	})
}

// terminate tells a host to stop, and starts it again some time after it has stopped. It fails the test if that takes long.
func (f *linkFleet) terminate(ctx context.Context, host string, away time.Duration) {
	f.t.Helper()
	f.runsMu.Lock()
	r := f.runs[host]
	f.runsMu.Unlock()
	r.stop()
	late := f.timer.After(stopGrace, func(time.Time) { f.t.Errorf("%s has not stopped after %v", host, stopGrace) })
	select {
	case <-r.ended:
	case <-ctx.Done():
	}
	late()
	if f.timer.Sleep(ctx, away) == nil {
		f.serve(host)
	}
}

// cut sets the links between hosts and all upstreams.
func (f *linkFleet) cut(l link, hosts ...string) {
	for _, h := range hosts {
		f.board.set(h, "", l)
	}
}

// restore makes all links of hosts sound.
func (f *linkFleet) restore(hosts ...string) {
	for _, h := range hosts {
		f.board.restore(h)
	}
}

// pick returns the entry hosts of some numbers.
func (f *linkFleet) pick(numbers ...int) []string {
	var l []string
	for _, i := range numbers {
		l = append(l, f.entries[i])
	}
	return l
}

// streamRuns returns how often workers began to run each attempt at a stream.
func (f *linkFleet) streamRuns() map[string]int {
	m := map[string]int{}
	for _, w := range f.engines {
		for _, r := range w.ran() {
			m[r.id]++
		}
	}
	return m
}

// ranPlain returns how often workers began to run an attempt at a call without events.
func (f *linkFleet) ranPlain(id string) int {
	f.plainFleet.mu.Lock()
	defer f.plainFleet.mu.Unlock()
	return f.reached[id]
}
