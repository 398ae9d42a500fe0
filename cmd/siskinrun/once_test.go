package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"path"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/platform/wire"
)

const onceConfiguration = `{"version": 8, "routes": [
  {"name": "once", "host": "` + streamHost + `", "path_prefix": "/once/", "route_type": "non_idempotent",
    "timeout_ms": 8000, "target_latency_ms": 300, "service": "once", "max_attempts": 3, "public": true},
  {"name": "slow", "host": "` + streamHost + `", "path_prefix": "/slow/", "route_type": "streaming", "gap_target_ms": 400,
    "timeout_ms": 8000, "target_latency_ms": 300, "service": "once", "max_attempts": 3, "public": true},
  {"name": "slow-on", "host": "` + streamHost + `", "path_prefix": "/slow-on/", "route_type": "streaming", "gap_target_ms": 400,
    "timeout_ms": 8000, "target_latency_ms": 300, "service": "once", "max_attempts": 3, "public": true, "resumable": true}],
  "services": [{"name": "once", "health_path": "/healthz", "max_conns": 200, "protocol": "h1"}],
  "limits": {}}`

// longBody is longer than what the buffers of a connection take.
const longBody = 3 << 20

// lossTime is the time in which callers must hear that an answer was lost, well before their deadline.
const lossTime = time.Second

// script answers one request to a worker; the connection closes when it returns.
type script = func(w *onceWorker, k *net.TCPConn, q *http.Request)

// onceWorker answers each request with the script for the request's path, and counts those that it may have run.
type onceWorker struct {
	id      string
	scripts map[string]script

	mu   sync.Mutex
	runs map[string]int
}

// onceFleet is a fleet with two routes whose calls may run once, one of them for streams, and one for streams that may go on, and
// its workers.
type onceFleet struct {
	*platformFleet
	workers []*onceWorker
}

func newOnceFleet(t testing.TB, scripts map[string]script) (*onceFleet, context.Context) {
	t.Helper()
	p, ctx := newPlatformFleet(t)
	return p.newOnce(ctx, scripts), ctx
}

// newOnce starts workers that answer by scripts before the fleet's hosts.
func (f *platformFleet) newOnce(ctx context.Context, scripts map[string]script) *onceFleet {
	f.t.Helper()
	o := &onceFleet{platformFleet: f}
	f.await(ctx, "configuration", func() error { return f.post(ctx, wire.PathConfigReplace, onceConfiguration) })
	for i := range 3 {
		w := &onceWorker{id: fmt.Sprint("i-", i), scripts: scripts, runs: map[string]int{}}
		w.start(ctx, f)
		o.workers = append(o.workers, w)
	}
	f.await(ctx, "readiness", func() error { return f.ready(ctx) })
	is.New(f.t).NoErr(f.timer.Sleep(ctx, time.Second)) // all hosts have heard of all workers
	return o
}

// runs returns how often a request may have run.
func (f *onceFleet) runs(id string) int {
	n := 0
	for _, w := range f.workers {
		w.mu.Lock()
		n += w.runs[id]
		w.mu.Unlock()
	}
	return n
}

// count records that a request may have run.
func (w *onceWorker) count(q *http.Request) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.runs[q.Header.Get(wire.AttemptID)]++
}

func (w *onceWorker) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	q, err := http.ReadRequest(bufio.NewReader(c))
	if err != nil {
		return
	}
	w.scripts[path.Base(q.URL.Path)](w, c.(*net.TCPConn), q)
}

// start serves and announces the worker until ctx ends.
func (w *onceWorker) start(ctx context.Context, f *platformFleet) {
	f.t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.New(f.t).NoErr(err)
	f.group.Go("worker", func(context.Context) error {
		for {
			c, err := l.Accept()
			if err != nil {
				return nil
			}
			f.group.Go("worker-connection", func(context.Context) error {
				w.serve(c)
				return nil
			})
		}
	})
	beat := func(n int) error {
		return f.post(ctx, wire.PathHeartbeat+w.id, fmt.Sprintf(`{"service":"once","address":%q,"zone":"a","version":"v1","slots":64,`+
			`"state":"ready","cold_remaining_ms":0,"sequence":%d,"born":1}`, l.Addr(), n))
	}
	f.await(ctx, "heartbeat", func() error { return beat(1) })
	f.group.Go("heartbeats", func(context.Context) error {
		defer func() { _ = l.Close() }()
		for n := 2; f.timer.Sleep(ctx, heartbeatInterval) == nil; n++ {
			_ = beat(n)
		}
		return nil
	})
}

// resetConn ends a connection at once.
func resetConn(k *net.TCPConn) {
	_ = k.SetLinger(0)
	_ = k.Close()
}

// onceCase is a way in which a worker loses a call or answers it early.
type onceCase struct {
	name     string
	body     int
	script   script
	statuses []int
}

// onceCases returns ways in which workers lose calls, and how these may be answered.
func onceCases() []onceCase {
	lost := []int{http.StatusBadGateway, http.StatusGatewayTimeout}
	head := func(q *http.Request, status string) string {
		return "HTTP/1.1 " + status + "\r\nX-Response-Signature: s\r\n" + wire.AttemptID + ": " + q.Header.Get(wire.AttemptID) + "\r\n"
	}
	// afterRun reads the whole request, which runs, and then sends a text and resets the connection.
	afterRun := func(text func(q *http.Request) string) script {
		return func(w *onceWorker, k *net.TCPConn, q *http.Request) {
			_, _ = io.Copy(io.Discard, q.Body)
			w.count(q)
			_, _ = io.WriteString(k, text(q))
			time.Sleep(20 * time.Millisecond) // the text arrives before the reset
			resetConn(k)
		}
	}
	return []onceCase{
		{"reset after the head of a long request", longBody, func(w *onceWorker, k *net.TCPConn, q *http.Request) {
			w.count(q)
			resetConn(k)
		}, lost},
		{"closed inside a long request", longBody, func(w *onceWorker, k *net.TCPConn, q *http.Request) {
			w.count(q)
			_, _ = io.CopyN(io.Discard, q.Body, longBody/2)
			_ = k.Close()
		}, lost},
		{"reset before the answer", 1, afterRun(func(*http.Request) string { return "" }), lost},
		{"reset inside the status line", 1, afterRun(func(*http.Request) string { return "HTTP/1.1 20" }), lost},
		{"reset inside the head", 1, afterRun(func(q *http.Request) string { return head(q, "200 OK") }), lost},
		{"reset before the body", 1, afterRun(func(q *http.Request) string { return head(q, "200 OK") + "Content-Length: 4\r\n\r\n" }), lost},
		{"reset inside the body", 1, afterRun(func(q *http.Request) string { return head(q, "200 OK") + "Content-Length: 4\r\n\r\nab" }), lost},
		{"reset inside a chunk", 1, afterRun(func(q *http.Request) string {
			return head(q, "200 OK") + "Transfer-Encoding: chunked\r\n\r\n4\r\nab"
		}), lost},
		{"reset inside the head of a refusal", 1, afterRun(func(q *http.Request) string {
			return head(q, "503 Busy") + "Content-Length: 0\r\n"
		}), lost},
		{"reset inside the body of an answer of 503", 1, afterRun(func(q *http.Request) string {
			return head(q, "503 Busy") + "Content-Length: 4\r\n\r\nab"
		}), lost},
		{"an answer to another request", 1, afterRun(func(*http.Request) string {
			return "HTTP/1.1 200 OK\r\n" + wire.AttemptID + ": other\r\nContent-Length: 0\r\n\r\n"
		}), lost},
		{"a refusal of another request", 1, afterRun(func(*http.Request) string {
			return "HTTP/1.1 503 Busy\r\n" + wire.NotExecuted + ": 1\r\n" + wire.AttemptID + ": other\r\nContent-Length: 0\r\n\r\n"
		}), lost},
		{"bytes that are no answer", 1, afterRun(func(*http.Request) string { return "no answer\r\n\r\n" }), lost},
		{"refused inside a long request", longBody, func(_ *onceWorker, k *net.TCPConn, q *http.Request) {
			_, _ = io.WriteString(k, head(q, "503 Busy")+wire.NotExecuted+": 1\r\nContent-Length: 0\r\n\r\n")
			_ = k.CloseWrite()
			_, _ = io.Copy(io.Discard, q.Body)
		}, []int{http.StatusServiceUnavailable}},
		{"answered inside a long request", longBody, func(w *onceWorker, k *net.TCPConn, q *http.Request) {
			w.count(q)
			_, _ = io.CopyN(io.Discard, q.Body, longBody/2)
			_, _ = io.WriteString(k, head(q, "200 OK")+"Content-Length: 2\r\n\r\nab")
			_, _ = io.Copy(io.Discard, q.Body)
		}, []int{http.StatusOK}},
	}
}

// onceScripts returns the scripts of onceCases by their paths.
func onceScripts() map[string]script {
	m := map[string]script{}
	for n, c := range onceCases() {
		m[fmt.Sprint(n)] = c.script
	}
	return m
}

// TestCallThatMayRunOnceIsNeitherRepeatedNorSaidNotToHaveRun guards against a repeat or a false promise after a lost answer.
func TestCallThatMayRunOnceIsNeitherRepeatedNorSaidNotToHaveRun(t *testing.T) {
	f, ctx := newOnceFleet(t, onceScripts())
	f.loseOnceCalls(ctx, t, f.entries)
}

// loseOnceCalls plays onceCases at hosts.
func (f *onceFleet) loseOnceCalls(ctx context.Context, t *testing.T, hosts []string) {
	t.Helper()
	for n, c := range onceCases() {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			for i, h := range hosts {
				id := fmt.Sprint("c", n, "-", i)
				q, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprint("http://", h, ":7443/once/", n), strings.NewReader(strings.Repeat("x", c.body)))
				is.NoErr(err)
				q.Host = streamHost
				q.Header.Set(wire.AttemptID, id)
				q.Header.Set(wire.Deadline, "3000")
				sent := f.timer.Now()
				r, err := f.http.Do(q)
				is.NoErr(err)
				_ = r.Body.Close()
				took := f.timer.Now().Sub(sent)
				if took >= lossTime || f.runs(id) > 1 || !slices.Contains(c.statuses, r.StatusCode) {
					t.Errorf("status %d after %v, %d runs", r.StatusCode, took, f.runs(id))
				}
			}
		})
	}
}
