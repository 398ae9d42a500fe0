package stage

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const beatTime = 400 * time.Millisecond

// Worker is a stand-in worker. It serves one request at a time on each connection, echoes the ID, refuses requests for another
// worker, and drops a request whose connection closes.
type Worker struct {
	ID, Service, Zone, Version string
	// Engine says that the worker tells its stage, Events how many events a stream has and Pace the time between two.
	Engine bool
	Events int
	Pace   time.Duration
	// Handle, if set, answers a request instead. It reports whether it has.
	Handle func(w http.ResponseWriter, q *http.Request) bool

	fleet    *Fleet
	address  string
	listener net.Listener
	stop     context.CancelFunc
	born     int64
	sequence int
	mu       sync.Mutex
	runs     []Run
}

// Run is a request that a worker began to run.
type Run struct {
	At                            time.Time
	ID, Method, URI, Host, Tenant string
	Header                        http.Header
	Body                          string
}

// AddWorker starts a worker on a loopback address and has it announced.
func (f *Fleet) AddWorker(w *Worker) error {
	l, err := net.Listen("tcp", f.prefix+"200:0")
	if err != nil {
		return err
	}
	ctx, stop := context.WithCancel(context.Background())
	w.fleet, w.listener, w.address, w.stop = f, l, l.Addr().String(), stop
	w.born = time.Now().UnixMilli()
	go func() { _ = http.Serve(l, w) }()
	s, b := w.beat(ctx)
	if s != http.StatusOK {
		return fmt.Errorf("heartbeat of %s: %d %s", w.ID, s, b)
	}
	go func() {
		for {
			select {
			case <-ctx.Done():
				return
			case <-time.After(beatTime):
				w.beat(ctx)
			}
		}
	}()
	return nil
}

func (w *Worker) beat(ctx context.Context) (int, string) {
	ctx, cancel := context.WithTimeout(ctx, readyTime)
	defer cancel()
	w.sequence++
	stage := ""
	if w.Engine {
		stage = `"stage":"dual","models":[{"name":"m","version":1,"adapters":[]}],`
	}
	return w.fleet.Control(ctx, http.MethodPost, "/siskinrun/Instances.Heartbeat/"+w.ID, fmt.Sprintf(
		`{"service":%q,"address":%q,"zone":%q,"version":%q,"slots":8,"state":"ready","cold_remaining_ms":0,%s"sequence":%d,"born":%d}`,
		w.Service, w.address, w.Zone, w.Version, stage, w.sequence, w.born))
}

// Runs returns the requests that the worker began to run.
func (w *Worker) Runs() []Run {
	w.mu.Lock()
	defer w.mu.Unlock()
	return append([]Run(nil), w.runs...)
}

// ServeHTTP implements http.Handler.
func (w *Worker) ServeHTTP(o http.ResponseWriter, q *http.Request) {
	b, err := io.ReadAll(q.Body)
	if err != nil {
		return
	}
	o.Header().Set("X-Instance-Id", w.ID)
	if q.URL.Path == "/healthz" {
		return
	}
	if e := q.Header.Get("X-Expected-Instance"); e != "" && e != w.ID {
		o.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	id := q.Header.Get("X-Attempt-Id")
	if id == "" {
		o.Header().Set("X-Not-Executed", "1")
		o.WriteHeader(http.StatusBadRequest)
		return
	}
	w.mu.Lock()
	w.runs = append(w.runs, Run{time.Now(), id, q.Method, q.RequestURI, q.Host, q.Header.Get("X-Tenant"), q.Header.Clone(), string(b)})
	w.mu.Unlock()
	w.fleet.Record.Add("run", w.ID, id, q.Method, q.RequestURI, q.Header.Get("X-Tenant"))
	o.Header().Set("X-Attempt-Id", id)
	o.Header().Set("X-Response-Signature", w.ID+"."+id)
	if w.Handle != nil && w.Handle(o, q) {
		return
	}
	if !w.Engine {
		_, _ = io.WriteString(o, "answer of "+w.ID+" to "+id)
		return
	}
	w.stream(o, q)
}

// stream sends the events after the last one that the request names.
func (w *Worker) stream(o http.ResponseWriter, q *http.Request) {
	o.Header().Set("Content-Type", "text/event-stream")
	o.Header().Set("X-Weight-Versions", "1")
	after, _ := strconv.Atoi(q.Header.Get("Last-Event-Id"))
	c := http.NewResponseController(o)
	for n := after + 1; n <= w.Events; n++ {
		select {
		case <-q.Context().Done():
			return
		case <-time.After(w.Pace):
		}
		if _, err := fmt.Fprintf(o, "id: %d\ndata: %s\n\n", n, EventText(q.Header.Get("X-Attempt-Id"), n)); err != nil {
			return
		}
		_ = c.Flush()
	}
}

// EventText returns the data of an event of a request's output.
func EventText(id string, n int) string {
	return fmt.Sprintf("%s-%d", id, n)
}
