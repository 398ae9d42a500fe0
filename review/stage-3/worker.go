package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	heartbeat   = 1200 * time.Millisecond
	workerSlots = 8
	// workerQueue is the number of requests that a worker queues beyond its slots.
	workerQueue = 24
	idleSeconds = 5
	// firstVersion is the version of the software of workers.
	firstVersion = "v1"
)

// answerer streams the events of a request after the given one. It returns an error if the connection broke or the run has ended.
type answerer func(ctx context.Context, w *worker, q *http.Request, out io.Writer, after int) error

// worker is a stand-in of a model worker.
type worker struct {
	stage   *stage
	id      string
	zone    string
	address string
	// version is that of the worker's software.
	version string
	born    int64
	answer  answerer

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
	stop     context.CancelFunc
	sequence int
	// silent says that the worker sends no heartbeats any more.
	silent bool
	// leaving says that the worker has said that it leaves, which all its answers say too.
	leaving bool
	state   string
	running map[string]int
	waiting int
	slots   chan struct{}
}

// startWorker starts a worker and tells the deployment of it until it crashes.
func (s *stage) startWorker(id, zone string, f answerer) (*worker, error) {
	return s.startVersion(id, zone, "127.0.0.1:0", firstVersion, 0, f)
}

// startVersion starts a worker of a software version at an address. Its first heartbeat arrives that late.
func (s *stage) startVersion(id, zone, address, version string, late time.Duration, f answerer) (*worker, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	ctx, stop := context.WithCancel(context.Background())
	w := &worker{
		stage: s, id: id, zone: zone, address: l.Addr().String(), version: version, born: time.Now().UnixMilli(), answer: f,
		listener: l, conns: map[net.Conn]bool{}, stop: stop, running: map[string]int{}, slots: make(chan struct{}, workerSlots),
		state: "ready",
	}
	s.mu.Lock()
	s.workers = append(s.workers, w)
	s.mu.Unlock()
	s.note("worker %s of version %s starts", id, version)
	go w.accept(ctx)
	time.AfterFunc(late, func() { w.beat(ctx) })
	return w, nil
}

// beat sends heartbeats until the worker ends.
func (w *worker) beat(ctx context.Context) {
	for ctx.Err() == nil {
		w.tell(ctx)
		_ = sleep(ctx, heartbeat)
	}
}

// tell sends a heartbeat and reports whether it was acknowledged.
func (w *worker) tell(ctx context.Context) bool {
	w.mu.Lock()
	if w.silent {
		w.mu.Unlock()
		return false
	}
	w.sequence++
	b := w.beatBody()
	w.mu.Unlock()
	return w.stage.postControl(ctx, "/siskinrun/Instances.Heartbeat/"+w.id, b)
}

// beatBody returns the body of a heartbeat. The caller holds the lock.
func (w *worker) beatBody() string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":%d,"state":%q,"cold_remaining_ms":0,"stage":"dual",`+
		`"models":[{"name":"m","version":1,"adapters":[]}],"sequence":%d,"born":%d}`,
		engineService, w.address, w.zone, w.version, workerSlots, w.state, w.sequence, w.born)
}

func (w *worker) accept(ctx context.Context) {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		w.mu.Lock()
		w.conns[c] = true
		w.mu.Unlock()
		go w.serve(ctx, c)
	}
}

// crash ends the worker at once: its connections are reset and it says nothing more.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stop()
	_ = w.listener.Close()
	for c := range w.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	clear(w.running)
}

// runs returns the number of runs under way of each request.
func (w *worker) runs() map[string]int {
	w.mu.Lock()
	defer w.mu.Unlock()
	m := map[string]int{}
	for id, n := range w.running {
		if n > 0 {
			m[id] = n
		}
	}
	return m
}

// serve answers the requests of a connection, one at a time.
func (w *worker) serve(ctx context.Context, c net.Conn) {
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}()
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		if _, err := io.Copy(io.Discard, q.Body); err != nil {
			return
		}
		if !w.respond(ctx, c, in, q) {
			return
		}
	}
}

// respond answers a request and reports whether the connection stays open.
func (w *worker) respond(ctx context.Context, c net.Conn, in *bufio.Reader, q *http.Request) bool {
	id := q.Header.Get("X-Attempt-Id")
	switch {
	case q.URL.Path == healthPath:
		return w.plain(c, 200, "X-Instance-Id: "+w.id+"\r\n")
	case q.Header.Get("X-Expected-Instance") != "" && q.Header.Get("X-Expected-Instance") != w.id:
		return w.plain(c, 421, "X-Attempt-Id: "+id+"\r\n")
	case id == "":
		return w.plain(c, 400, "X-Not-Executed: 1\r\n")
	case !w.enter():
		return w.plain(c, 503, "X-Not-Executed: 1\r\nX-Attempt-Id: "+id+"\r\n")
	}
	defer w.leave()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	go func() { // the request is dropped when its connection closes
		if _, err := in.Peek(1); err != nil {
			cancel()
		}
	}()
	select {
	case w.slots <- struct{}{}:
	case <-ctx.Done():
		return false
	}
	defer func() { <-w.slots }()
	w.count(id, 1)
	defer w.count(id, -1)
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	w.stage.note("worker %s runs %s after event %d", w.id, id, after)
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nX-Attempt-Id: " + id + "\r\nX-Response-Signature: s." + w.id + "." + id +
		"\r\n" + w.leavingHeader() + "Transfer-Encoding: chunked\r\nConnection: close\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	out := chunked{c}
	if err := w.answer(ctx, w, q, out, after); err != nil {
		return false
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	w.stage.note("worker %s has finished %s", w.id, id)
	return false
}

// chunked writes each piece as a chunk.
type chunked struct{ io.Writer }

// Write implements io.Writer.Write.
func (c chunked) Write(b []byte) (int, error) {
	if _, err := fmt.Fprintf(c.Writer, "%x\r\n%s\r\n", len(b), b); err != nil {
		return 0, err
	}
	return len(b), nil
}

// plain writes an answer without a body and reports whether the connection stays open.
func (w *worker) plain(c io.Writer, status int, headers string) bool {
	headers += w.leavingHeader()
	_, err := fmt.Fprintf(c, "HTTP/1.1 %d %s\r\n%sKeep-Alive: timeout=%d\r\nContent-Length: 0\r\n\r\n",
		status, strings.ReplaceAll(http.StatusText(status), "\r", ""), headers, idleSeconds)
	return err == nil
}

// leavingHeader returns the header of a worker that leaves, or nothing.
func (w *worker) leavingHeader() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.leaving {
		return "Server-Leaving: 1\r\n"
	}
	return ""
}

// enter takes a place in the queue of the worker, if there is one.
func (w *worker) enter() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting >= workerSlots+workerQueue {
		return false
	}
	w.waiting++
	return true
}

func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.waiting--
}

func (w *worker) count(id string, n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.running[id] += n
}
