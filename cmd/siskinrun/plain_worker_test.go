package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"siskinrun/platform/wire"
)

const (
	plainHealthPath = "/healthz"
	// plainWorkTime is how long a plain worker takes for a request, and slowWorkTime for one whose path says so.
	plainWorkTime = 250 * time.Millisecond
	slowWorkTime  = 1200 * time.Millisecond
	// deadlyDelay is the time after which a deadly request ends a plain worker, before any byte of an answer.
	deadlyDelay = 60 * time.Millisecond
	// plainReturn is the time after which a plain worker that has ended is back under another name.
	plainReturn = 2500 * time.Millisecond
)

// plainRequest is a request for one answer; requests of the same value are the same request.
type plainRequest struct {
	method, path, team, body string
	// prompt lists the parts of the prompt, empty for none.
	prompt string
}

// answer returns what a worker answers to a request.
func (r plainRequest) answer() string {
	s := fmt.Sprintf("%s %s for %s with %d bytes\n", r.method, r.path, r.team, len(r.body))
	if r.path == largePage {
		s += strings.Repeat("x", largeAnswer-len(s))
	}
	return s
}

// kind returns the request that stands for all that are deadly by the same part of their prompts, or the request itself.
func (r plainRequest) kind() plainRequest {
	if r.prompt != "" && isDeadly(r.prompt) {
		return plainRequest{prompt: deadlyPart}
	}
	return r
}

// plainWorker is one run of a stand-in worker of the service desk, which answers with a length.
type plainWorker struct {
	*platformWorker
	fleet *plainFleet
	// slot numbers the worker among those that run, and run its runs.
	slot, run int

	once sync.Once
	mu   sync.Mutex
	// deadly holds the deadly requests that the worker runs.
	deadly map[plainRequest]bool
}

// startPlain starts a run of the worker of a slot and returns once the control host knows it.
func (f *plainFleet) startPlain(ctx context.Context, slot, run int) {
	w := &plainWorker{fleet: f, slot: slot, run: run, deadly: map[plainRequest]bool{}}
	w.platformWorker = &platformWorker{
		fleet: f.platformFleet, id: fmt.Sprintf("i-%d-%d", slot, run), service: "desk", version: "v1", born: 1, alive: true,
		zone: string(rune('a' + slot%len(platformEntries))), closes: run%2 == 1, simple: !f.engines, plain: w.servePlain,
	}
	f.mu.Lock()
	f.workers[slot] = w
	f.mu.Unlock()
	w.start()
	for n := 1; w.beat(ctx, n) != nil && f.timer.Sleep(ctx, pollInterval) == nil; {
		n = 1
	}
}

// end ends the worker with all that it runs, and lets it come back.
func (w *plainWorker) end(ctx context.Context) {
	w.once.Do(func() {
		f := w.fleet
		w.mu.Lock()
		for r := range w.deadly {
			f.deadly[r].add(&f.deadly[r].ended, f.timer.Now())
		}
		w.mu.Unlock()
		w.crash()
		f.group.Go("return", func(context.Context) error {
			if f.timer.Sleep(ctx, plainReturn) == nil {
				f.startPlain(ctx, w.slot, w.run+1)
			}
			return nil
		})
	})
}

// servePlain answers the requests of one connection.
func (w *plainWorker) servePlain(ctx context.Context, c net.Conn) {
	in := bufio.NewReader(c)
	for {
		q, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		b, err := io.ReadAll(q.Body)
		if err != nil || w.awaitSilence(ctx, 0) != nil {
			return
		}
		switch {
		case q.URL.Path == plainHealthPath:
			_, err = io.WriteString(c, "HTTP/1.1 200 OK\r\nX-Instance-Id: "+w.id+"\r\nContent-Length: 0\r\n\r\n")
		case q.Header.Get(wire.ExpectedInstance) != w.id:
			_, err = io.WriteString(c, "HTTP/1.1 421 Misdirected Request\r\nContent-Length: 0\r\n\r\n")
		default:
			r := plainRequest{q.Method, q.RequestURI, q.Header.Get(wire.Tenant), string(b), q.Header.Get(wire.PromptPrefix)}
			err = w.runPlain(ctx, c, q.Header.Get(wire.AttemptID), r)
		}
		if err != nil {
			return
		}
	}
}

// runPlain answers a request, or ends with it if it is deadly.
func (w *plainWorker) runPlain(ctx context.Context, c net.Conn, id string, r plainRequest) error {
	if ctx.Err() != nil {
		return ctx.Err() // the worker has ended
	}
	f := w.fleet
	f.reach(id)
	if strings.HasPrefix(id, itemPrefix) {
		return w.runItem(ctx, c, id)
	}
	r = r.kind()
	if c := f.deadly[r]; c != nil && !f.harmless.Load() {
		c.add(&c.sends, f.timer.Now())
		w.mu.Lock()
		w.deadly[r] = true
		w.mu.Unlock()
		if err := f.timer.Sleep(ctx, deadlyDelay); err != nil {
			return err
		}
		w.end(f.context)
		return io.EOF
	}
	d := plainWorkTime
	if strings.Contains(r.path, "/slow") {
		d = slowWorkTime
	}
	if err := w.awaitSilence(ctx, d); err != nil {
		return err
	}
	a := r.answer()
	_, err := fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nX-Response-Signature: %s\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
		w.id, wire.AttemptID, id, len(a), a)
	return err
}
