package fleet

import (
	"bufio"
	"encoding/json"
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
	// heartbeatInterval is heartbeat_ms of the deployment.
	heartbeatInterval = 1200 * time.Millisecond
	// idleTimeout is how long a worker keeps an idle connection open.
	idleTimeout = 5 * time.Second
)

// Worker is a stand-in of a worker. Its zero value behaves like a sound one.
type Worker struct {
	ID      string
	Service string
	Zone    string
	// Engine says that the worker is a model worker.
	Engine bool
	// Slots is the number of requests that it runs at once.
	Slots int
	// Serve, if set, answers a request in place of the usual answer and reports whether the connection stays open.
	Serve func(c net.Conn, q *Request) bool

	fleet    *Fleet
	born     int64
	listener net.Listener
	mu       sync.Mutex
	sequence int
	state    string
	stop     chan struct{}
	conns    map[net.Conn]bool
}

// Request is a request that reached a worker.
type Request struct {
	*http.Request
	// Payload is its body.
	Payload []byte
	// At is when it had arrived whole.
	At time.Time
}

// AttemptID returns the request's ID.
func (q *Request) AttemptID() string {
	return q.Header.Get("X-Attempt-Id")
}

// StartWorker makes a worker serve and send heartbeats until the case ends.
func (f *Fleet) StartWorker(w *Worker) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	w.conns = map[net.Conn]bool{}
	w.fleet, w.listener, w.born, w.state, w.stop = f, l, time.Now().UnixMilli(), "ready", make(chan struct{})
	go w.accept()
	go w.beat()
	return nil
}

func (w *Worker) accept() {
	for {
		c, err := w.listener.Accept()
		if err != nil {
			return
		}
		go w.serve(c)
	}
}

func (w *Worker) beat() {
	for {
		w.sendBeat()
		select {
		case <-w.stop:
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

func (w *Worker) sendBeat() {
	w.mu.Lock()
	w.sequence++
	b := map[string]any{
		"service": w.Service, "address": w.listener.Addr().String(), "zone": w.Zone, "version": "v1", "slots": w.Slots,
		"state": w.state, "cold_remaining_ms": 0, "sequence": w.sequence, "born": w.born,
	}
	w.mu.Unlock()
	if w.Engine {
		b["stage"] = "dual"
		b["models"] = []any{map[string]any{"name": "m", "version": 1, "adapters": []string{}}}
	}
	d, _ := json.Marshal(b)
	w.fleet.Control(http.MethodPost, "/siskinrun/Instances.Heartbeat/"+w.ID, d)
}

func (w *Worker) serve(c net.Conn) {
	w.mu.Lock()
	w.conns[c] = true
	w.mu.Unlock()
	defer func() {
		w.mu.Lock()
		delete(w.conns, c)
		w.mu.Unlock()
		_ = c.Close()
	}()
	r := bufio.NewReader(c)
	for {
		_ = c.SetReadDeadline(time.Now().Add(idleTimeout))
		h, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_ = c.SetReadDeadline(time.Time{})
		b, err := io.ReadAll(h.Body)
		if err != nil {
			return
		}
		q := &Request{h, b, time.Now()}
		if !w.handle(c, q) {
			return
		}
	}
}

func (w *Worker) handle(c net.Conn, q *Request) bool {
	switch {
	case q.Method == http.MethodGet && q.URL.Path == "/healthz":
		return Write(c, 200, "", "X-Instance-Id: "+w.ID)
	case q.Method == http.MethodGet && q.URL.Path == "/siskinrun/report":
		return Write(c, 200, `{"stage":"dual","models":[{"name":"m","version":1,"adapters":[]}],"busy":false,"sequence":1,"queued":0,`+
			`"active":0,"kv_used":0,"kv_total":147261,"handles":0}`, "Content-Type: application/json")
	case strings.HasPrefix(q.URL.Path, "/siskinrun/"):
		return Write(c, 404, "")
	}
	if i := q.Header.Get("X-Expected-Instance"); i != "" && i != w.ID {
		return Write(c, 421, "", "X-Attempt-Id: "+q.AttemptID())
	}
	w.fleet.Record.Add("worker %s gets %s %s id %s deadline %s last event %q", w.ID, q.Method, q.RequestURI, q.AttemptID(),
		q.Header.Get("X-Deadline-Ms"), q.Header.Get("Last-Event-Id"))
	if w.Serve != nil {
		return w.Serve(c, q)
	}
	if w.Engine {
		return w.Stream(c, q, 5, 10*time.Millisecond)
	}
	return Write(c, 200, "answer to "+q.AttemptID(), w.Headers(q)...)
}

// Headers returns the headers that a sound worker adds to its answer to a request.
func (w *Worker) Headers(q *Request) []string {
	return []string{
		"X-Attempt-Id: " + q.AttemptID(),
		"X-Response-Signature: " + w.ID + "." + q.AttemptID(),
		"X-Server-Load: 1,0," + strconv.Itoa(w.Slots),
		"Keep-Alive: timeout=" + strconv.Itoa(int(idleTimeout/time.Second)),
	}
}

// Write sends a whole answer with a length.
func Write(c net.Conn, status int, body string, headers ...string) bool {
	var b strings.Builder
	fmt.Fprintf(&b, "HTTP/1.1 %d %s\r\n", status, http.StatusText(status))
	for _, h := range headers {
		b.WriteString(h + "\r\n")
	}
	fmt.Fprintf(&b, "Content-Length: %d\r\n\r\n%s", len(body), body)
	_, err := io.WriteString(c, b.String())
	return err == nil
}

// Text returns the data of event n of the answer to a request.
func Text(id string, n int) string {
	return fmt.Sprintf("%s/%d", id, n)
}

// Stream sends the events 1 to n of a stream in chunks, from the one after Last-Event-Id on.
func (w *Worker) Stream(c net.Conn, q *Request, n int, step time.Duration) bool {
	first := 1
	if l := q.Header.Get("Last-Event-Id"); l != "" {
		k, _ := strconv.Atoi(l)
		first = k + 1
	}
	head := "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n" + strings.Join(w.Headers(q), "\r\n") + "\r\n\r\n"
	if _, err := io.WriteString(c, head); err != nil {
		return false
	}
	for i := first; i <= n; i++ {
		time.Sleep(step)
		e := fmt.Sprintf("id: %d\ndata: %s\n\n", i, Text(q.AttemptID(), i))
		if _, err := fmt.Fprintf(c, "%x\r\n%s\r\n", len(e), e); err != nil {
			return false
		}
	}
	_, err := io.WriteString(c, "0\r\n\r\n")
	return err == nil
}

// drainTime is drain_ms of the deployment and the little longer for which a worker serves after its leave is acknowledged.
const drainTime = 2500 * time.Millisecond

// Leave makes the worker say that it drains, and end a little after that was acknowledged.
func (w *Worker) Leave() {
	w.mu.Lock()
	w.state = "draining"
	w.sequence++
	w.mu.Unlock()
	w.sendBeat()
	time.Sleep(drainTime)
	close(w.stop)
	b, _ := json.Marshal(map[string]any{"born": w.born})
	w.fleet.Control(http.MethodPost, "/siskinrun/Instances.Deregister/"+w.ID, b)
	w.End()
}

// End closes all connections of the worker, as its process does when it exits.
func (w *Worker) End() {
	_ = w.listener.Close()
	w.mu.Lock()
	defer w.mu.Unlock()
	for c := range w.conns {
		_ = c.Close()
	}
}
