package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Sizes of case 14: requests with a part of a prompt that crashes workers come a few at a time, and all front machines are killed.
const (
	partWorkers = 8
	// deadlyPart is the part, and deadlyAtOnce the number of requests with it that come at once.
	deadlyPart   = "dead5e01"
	deadlyAtOnce = 6
	// usualPart is the part that all requests share, and soundInterval the time between two sound ones.
	usualPart     = "5c1e07a2"
	soundInterval = 100 * time.Millisecond
	// contactTime is contact_ms of the bounds.
	contactTime = 3 * time.Second
	downTime    = time.Second
	// partEvents is the number of events of an answer, and partPace the time between two.
	partEvents = 8
	partPace   = 25 * time.Millisecond
	// maxAfter is the most requests with the part that may reach workers after the workers have crashed.
	maxAfter = 3
)

// deadlyRuns counts the requests with the deadly part that reach workers.
type deadlyRuns struct {
	mu      sync.Mutex
	crashes int
	stage   *stage
}

// stream answers a request, or crashes the worker as it begins to write an answer on the deadly part.
func (r *deadlyRuns) stream(ctx context.Context, w *worker, q *http.Request, out io.Writer, _ int) error {
	if err := sleep(ctx, partPace); err != nil {
		return err
	}
	if strings.Contains(q.Header.Get("X-Prompt-Prefix"), deadlyPart) {
		r.mu.Lock()
		r.crashes++
		n := r.crashes
		r.mu.Unlock()
		r.stage.note("worker %s crashes under %s, crash %d", w.id, q.Header.Get("X-Attempt-Id"), n)
		w.crash()
		time.AfterFunc(awayTime, func() {
			if _, err := r.stage.startWorker(fmt.Sprintf("%s-%d", w.id, n), w.zone, r.stream); err != nil {
				r.stage.note("%v", err)
			}
		})
		return io.ErrClosedPipe
	}
	for n := 1; n <= partEvents; n++ {
		if _, err := fmt.Fprintf(out, "id: %d\ndata: piece %d\n\n", n, n); err != nil {
			return err
		}
		if err := sleep(ctx, partPace); err != nil {
			return err
		}
	}
	return nil
}

func (r *deadlyRuns) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.crashes
}

// playForgottenPart lets workers crash under a part of a prompt, kills all front machines once its requests are kept from workers, and
// counts those that reach workers when the front machines are in touch again.
func playForgottenPart(ctx context.Context, s *stage) (bool, error) {
	r := &deadlyRuns{stage: s}
	if err := s.open(ctx, partWorkers, siteLimits, r.stream); err != nil {
		return false, err
	}
	sound, stop := context.WithCancel(ctx)
	defer stop()
	go s.askSound(sound)
	if err := sleep(ctx, contactTime); err != nil {
		return false, err
	}
	s.askDeadly(ctx, "first", deadlyAtOnce)
	first := r.count()
	if first < 5 {
		return false, fmt.Errorf("only %d workers have crashed", first)
	}
	if err := sleep(ctx, 2*contactTime); err != nil {
		return false, err
	}
	s.askDeadly(ctx, "second", deadlyAtOnce)
	second := r.count() - first
	s.note("%d requests with the part have reached workers later than contact_ms after the fifth crash", second)
	if s.trouble {
		if err := s.killFronts(ctx); err != nil {
			return false, err
		}
	}
	if err := s.awaitReady(ctx); err != nil {
		return false, err
	}
	if err := sleep(ctx, 2*contactTime); err != nil {
		return false, err
	}
	s.askDeadly(ctx, "third", deadlyAtOnce)
	all := r.count() - first
	s.note("%d requests with the part have reached workers later than contact_ms after the fifth crash", all)
	return all <= maxAfter, nil
}

// killFronts kills the processes of all front machines at once and starts them again.
func (s *stage) killFronts(ctx context.Context) error {
	s.note("all front machines are killed")
	for _, m := range s.of(classFrontend) {
		s.signal(m, syscall.SIGKILL, time.Second)
	}
	if err := sleep(ctx, downTime); err != nil {
		return err
	}
	for _, m := range s.of(classFrontend) {
		if err := s.start(m); err != nil {
			return err
		}
	}
	s.note("all front machines are started again")
	return nil
}

// askSound sends sound requests to the front machines in turn.
func (s *stage) askSound(ctx context.Context) {
	fronts := s.of(classFrontend)
	for n := 0; sleep(ctx, soundInterval) == nil; n++ {
		go func() {
			m := fronts[n%len(fronts)]
			status, whole := s.ask(ctx, m, fmt.Sprintf("50d%013x", n), fmt.Sprintf("%s:200,50d%d:60,%x:190", usualPart, n%5, n))
			if !whole && ctx.Err() == nil {
				s.note("sound request %d at %s: %d", n, m.name, status)
			}
		}()
	}
}

// askDeadly sends requests with the deadly part, no two alike, to the front machines at once.
func (s *stage) askDeadly(ctx context.Context, name string, count int) {
	fronts := s.of(classFrontend)
	var wait sync.WaitGroup
	for n := range count {
		wait.Add(1)
		go func() {
			defer wait.Done()
			m := fronts[n%len(fronts)]
			id := fmt.Sprintf("dead-%s-%d", name, n)
			status, _ := s.ask(ctx, m, id, fmt.Sprintf("%s:200,%s:60,%s%d:190", usualPart, deadlyPart, name, n))
			s.note("request %s at %s is answered %d", id, m.name, status)
		}()
	}
	wait.Wait()
}
