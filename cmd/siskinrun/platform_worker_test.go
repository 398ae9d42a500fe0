package main

import (
	"bufio"
	"cmp"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/matryer/is"

	"siskinrun/platform/wire"
)

const (
	heartbeatInterval = 200 * time.Millisecond
	// workerEvents is the number of events of each stream, and workerStep the time between two.
	workerEvents = 20
	workerStep   = 20 * time.Millisecond
	workerSlots  = 64
)

// platformWorker is a stand-in worker whose events name its version.
type platformWorker struct {
	fleet   *platformFleet
	id      string
	service string
	version string
	address string
	// born numbers the runs of the worker.
	born int
	// alive says that a run of the worker serves, or is about to.
	alive bool
	// deadly is the part of a prompt on which the worker ends when it begins to write.
	deadly string
	// begins, if set, reports whether the worker ends with a request that it begins to run, before any byte of the answer.
	begins func(q *http.Request) bool
	// received, if set, is called with the prompt of each request.
	received func(prompt string)
	// answer, if set, answers each request in place of the usual events, and reports whether the connection stays open.
	answer func(c net.Conn, q *http.Request) bool
	// pace, if set, returns the time that follows an event in place of workerStep.
	pace func(path string, event int) time.Duration
	// finished, if set, is called at the end of each request with whether its answer was written whole.
	finished func(q *http.Request, whole bool)
	// limit, if set, returns the limit that the worker names at a time, empty for none.
	limit func(at time.Time) string
	// zone is the failure domain of the worker.
	zone string
	// stays means that the worker has the same address after a restart.
	stays bool
	// slots is the number of requests that the worker runs at once, zero for workerSlots.
	slots int
	// plain, if set, serves each connection in place of streams.
	plain func(ctx context.Context, c net.Conn)
	// simple means that the worker is not an engine.
	simple bool
	// closes means that a crash closes connections instead of resetting them.
	closes bool
	// ended is called when the worker ends by itself.
	ended func(w *platformWorker)

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	stop     context.CancelFunc
	runs     []workerRun
	// silentUntil is when the worker goes on after a silence.
	silentUntil time.Time
}

// workerRun is a request that the worker began to run.
type workerRun struct {
	at     time.Time
	id     string
	prompt string
}

// startWorker starts a worker of the service lm and returns once the control host knows it.
func (f *platformFleet) startWorker(ctx context.Context, id, version string) *platformWorker {
	f.t.Helper()
	w := &platformWorker{fleet: f, id: id, service: "lm", zone: "a", version: version, born: 1, alive: true}
	f.run(ctx, w)
	return w
}

// run starts a worker and returns once the control host knows it.
func (f *platformFleet) run(ctx context.Context, w *platformWorker) {
	f.t.Helper()
	w.start()
	f.await(ctx, "heartbeat", func() error { return w.beat(ctx, 1) })
}

// start makes the worker serve and send heartbeats until it crashes or the fleet ends, also after the end of what started it.
func (w *platformWorker) start() {
	at := "127.0.0.1:0"
	if a := w.currentAddress(); w.stays && a != "" {
		at = a
	}
	l, err := net.Listen("tcp", at)
	is.New(w.fleet.t).NoErr(err)
	ctx, stop := context.WithCancel(w.fleet.group.Context())
	w.mu.Lock()
	if !w.alive {
		w.mu.Unlock()
		stop()
		_ = l.Close()
		return // it crashed before it served
	}
	w.listener, w.conns, w.stop = l, map[net.Conn]bool{}, stop
	w.address = l.Addr().String()
	version := w.version
	w.mu.Unlock()
	w.fleet.group.Go("worker", func(context.Context) error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			w.track(c, true)
			w.fleet.group.Go("worker-connection", func(context.Context) error {
				defer w.track(c, false)
				w.serve(ctx, c, version)
				return nil
			})
		}
	})
	w.fleet.group.Go("heartbeats", func(context.Context) error {
		defer func() { _ = l.Close() }()
		for n := 2; ; n++ {
			if w.awaitSilence(ctx, heartbeatInterval) != nil {
				return nil
			}
			_ = w.beat(ctx, n)
		}
	})
}

func (w *platformWorker) track(c net.Conn, open bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !open {
		delete(w.conns, c)
		_ = c.Close()
		return
	}
	w.conns[c] = true
}

func (w *platformWorker) beat(ctx context.Context, n int) error {
	w.mu.Lock()
	address, born, version := w.address, w.born, w.version
	w.mu.Unlock()
	kind := `"stage":"dual","models":[],`
	if w.simple {
		kind = ""
	}
	return w.fleet.post(ctx, wire.PathHeartbeat+w.id, fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,`+
		`"state":"ready","cold_remaining_ms":0,%s"sequence":%d,"born":%d}`, w.service, address, w.zone, version, cmp.Or(w.slots, workerSlots), kind, n, born))
}

// restart lets a worker that has crashed serve again under its name, as a new run of a version. A worker that runs already
// goes on as it is: no process changes its version.
func (w *platformWorker) restart(ctx context.Context, version string) {
	w.mu.Lock()
	if w.alive {
		w.mu.Unlock()
		return
	}
	w.alive = true
	w.born++
	w.version = version
	w.mu.Unlock()
	w.start()
	_ = w.beat(ctx, 1)
}

// crash closes all connections of the worker at once; it sends nothing more.
func (w *platformWorker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.alive = false
	w.stop()
	_ = w.listener.Close()
	for c := range w.conns {
		if !w.closes {
			_ = c.(*net.TCPConn).SetLinger(0)
		}
		_ = c.Close()
	}
}

// silence makes the worker read and write nothing for a time.
func (w *platformWorker) silence(d time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silentUntil = w.fleet.timer.Now().Add(d)
}

// awaitSilence waits for d and until the worker is not silent.
func (w *platformWorker) awaitSilence(ctx context.Context, d time.Duration) error {
	for {
		if d > 0 && w.fleet.timer.Sleep(ctx, d) != nil {
			return ctx.Err()
		}
		w.mu.Lock()
		d = w.silentUntil.Sub(w.fleet.timer.Now())
		w.mu.Unlock()
		if d <= 0 {
			return nil
		}
	}
}

func (w *platformWorker) currentVersion() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.version
}

func (w *platformWorker) currentAddress() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.address
}

// ran returns the requests that the worker began to run.
func (w *platformWorker) ran() []workerRun {
	w.mu.Lock()
	defer w.mu.Unlock()
	return slices.Clone(w.runs)
}

// serve answers the requests of one connection.
func (w *platformWorker) serve(ctx context.Context, c net.Conn, version string) {
	if w.plain != nil {
		w.plain(ctx, c)
		return
	}
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, q.Body)
		if w.awaitSilence(ctx, 0) != nil {
			return
		}
		if q.Header.Get(wire.ExpectedInstance) != w.id {
			_, _ = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
			continue
		}
		whole := w.run(ctx, c, q, version)
		if w.finished != nil {
			w.finished(q, whole)
		}
		if !whole {
			return
		}
	}
}

// partIDs returns the IDs of the parts of a prompt but the last.
func partIDs(prompt string) []string {
	var l []string
	for e := range strings.SplitSeq(prompt, ",") {
		id, _, _ := strings.Cut(e, ":")
		l = append(l, id)
	}
	return l[:len(l)-1]
}

// run streams the events after the last one that the request names, and reports whether the connection stays open.
func (w *platformWorker) run(ctx context.Context, c net.Conn, q *http.Request, version string) bool {
	p := q.Header.Get(wire.PromptPrefix)
	w.mu.Lock()
	at := w.fleet.timer.Now()
	w.runs = append(w.runs, workerRun{at, q.Header.Get(wire.AttemptID), p})
	received, deadly, limit, answer, begins := w.received, w.deadly, w.limit, w.answer, w.begins
	w.mu.Unlock()
	if begins != nil && begins(q) {
		if w.fleet.timer.Sleep(ctx, deadlyDelay) == nil {
			w.crash()
			w.ended(w)
		}
		return false
	}
	if received != nil {
		received(p)
	}
	if answer != nil {
		return answer(c, q)
	}
	if w.awaitSilence(ctx, workerStep) != nil {
		return false
	}
	h := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Response-Signature: " + w.id + "\r\n" +
		wire.AttemptID + ": " + q.Header.Get(wire.AttemptID) + "\r\nTransfer-Encoding: chunked\r\n"
	if limit != nil && limit(at) != "" {
		h += wire.ServerLimit + ": " + limit(at) + "\r\n"
	}
	h += "\r\n"
	if _, err := io.WriteString(c, h); err != nil {
		return false
	}
	if deadly != "" && slices.Contains(partIDs(p), deadly) {
		w.crash()
		w.ended(w)
		return false
	}
	after, _ := strconv.Atoi(q.Header.Get(wire.LastEventID))
	for n := after + 1; n <= workerEvents; n++ {
		e := fmt.Sprintf("id: %d\ndata: %s-%d\n\n", n, version, n)
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
		d := workerStep
		if w.pace != nil {
			d = w.pace(q.URL.Path, n)
		}
		if w.awaitSilence(ctx, d) != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}
