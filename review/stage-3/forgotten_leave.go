package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"syscall"
	"time"
)

// Times of case 15: a worker says that it leaves, and right after the acknowledgement all processes are killed.
const (
	leaveWorkers = 4
	// killAfter is the time from the acknowledgement to the kill.
	killAfter = 100 * time.Millisecond
	// lateBy is the time by which the last heartbeat of the worker is late.
	lateBy = 3 * time.Second
	// inTouchAfter is the time from the start of the processes until machines are in touch: twice contact_ms, since most of the core
	// was lost.
	inTouchAfter = 2*contactTime + 300*time.Millisecond
	// askTime is the time in which requests are sent then, and askInterval the time between two.
	askTime     = 2500 * time.Millisecond
	askInterval = 50 * time.Millisecond
	// serveTime is the time from the acknowledgement for which the worker serves on.
	serveTime = 10 * time.Second
	// leaveEvents is the number of events of an answer, and leavePace the time between two.
	leaveEvents = 20
	leavePace   = 50 * time.Millisecond
)

// leaveRuns records when requests reach each worker.
type leaveRuns struct {
	mu   sync.Mutex
	runs map[string][]time.Time
}

func (r *leaveRuns) stream(ctx context.Context, w *worker, _ *http.Request, out io.Writer, _ int) error {
	r.mu.Lock()
	r.runs[w.id] = append(r.runs[w.id], time.Now())
	r.mu.Unlock()
	for n := 1; n <= leaveEvents; n++ {
		if err := sleep(ctx, leavePace); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return err
		}
	}
	return nil
}

// since returns the number of requests that have reached a worker since a time.
func (r *leaveRuns) since(id string, t time.Time) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	n := 0
	for _, at := range r.runs[id] {
		if at.After(t) {
			n++
		}
	}
	return n
}

// playForgottenLeave has a worker leave, kills all processes after the acknowledgement, and counts the requests that reach the worker
// when all machines are in touch again.
func playForgottenLeave(ctx context.Context, s *stage) (bool, error) {
	r := &leaveRuns{runs: map[string][]time.Time{}}
	if err := s.open(ctx, leaveWorkers, siteLimits, r.stream); err != nil {
		return false, err
	}
	w := s.workers[leaveWorkers-1]
	late := w.lastBeat()
	w.mu.Lock()
	w.leaving = true
	w.mu.Unlock()
	if !s.postControl(ctx, "/siskinrun/Instances.Deregister/"+w.id, fmt.Sprintf(`{"born":%d}`, w.born)) {
		return false, fmt.Errorf("the leave isn't acknowledged")
	}
	acknowledged := time.Now()
	s.note("worker %s says that it leaves, acknowledged; it serves on for %v", w.id, serveTime)
	time.AfterFunc(serveTime, func() {
		w.crash()
		s.note("worker %s has ended", w.id)
	})
	time.AfterFunc(lateBy, func() {
		s.note("a heartbeat that worker %s sent before it left arrives: %v", w.id, s.postControl(ctx, "/siskinrun/Instances.Heartbeat/"+w.id, late))
	})
	if err := sleep(ctx, killAfter); err != nil {
		return false, err
	}
	if s.trouble {
		if err := s.killAll(ctx); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return false, err
	}
	if err := sleep(ctx, time.Until(acknowledged.Add(killAfter+downTime+inTouchAfter))); err != nil {
		return false, err
	}
	begun := time.Now()
	s.note("requests are sent, %.1f s after the acknowledgement", begun.Sub(acknowledged).Seconds())
	s.askFor(ctx, askTime)
	n := r.since(w.id, begun)
	s.note("%d of these requests have reached the worker that has left", n)
	return n == 0, nil
}

// lastBeat returns the body of a heartbeat that the worker sends before it leaves, and which is late; it sends no more after it.
func (w *worker) lastBeat() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.silent = true
	w.sequence++
	return w.beatBody()
}

// killAll kills the processes of all machines and starts them again.
func (s *stage) killAll(ctx context.Context) error {
	s.note("all processes are killed")
	for _, m := range s.machines {
		s.signal(m, syscall.SIGKILL, time.Second)
	}
	if err := sleep(ctx, downTime); err != nil {
		return err
	}
	if err := s.startAll(); err != nil {
		return err
	}
	s.note("all processes are started again")
	return nil
}

// askFor sends requests to the front machines in turn for a time, and waits for their answers.
func (s *stage) askFor(ctx context.Context, d time.Duration) {
	fronts := s.of(classFrontend)
	var wait sync.WaitGroup
	end := time.Now().Add(d)
	for n := 0; time.Now().Before(end); n++ {
		wait.Add(1)
		go func() {
			defer wait.Done()
			m := fronts[n%len(fronts)]
			status, whole := s.ask(ctx, m, fmt.Sprintf("50d%013x", n), fmt.Sprintf("5c1e07a2:200,%x:190", n))
			s.note("request %d at %s: %d, whole %v", n, m.name, status, whole)
		}()
		_ = sleep(ctx, askInterval)
	}
	wait.Wait()
}
