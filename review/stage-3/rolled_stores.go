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

// Sizes of case 11: a batch job of which half of the items go on at another worker, since theirs crash.
const (
	rolledWorkers   = 12
	rolledItems     = rolledWorkers * workerSlots
	rolledEvents    = 160
	rolledEventSize = 8 << 10
	rolledPace      = 300 * time.Millisecond
	rolledTokens    = 60000
	rolledJob       = "7c41e09b52d6a3f8"

	// crashesAfter is the number of events after which workers crash. In each of crashRounds, crashedAtOnce workers do.
	crashesAfter  = 100
	crashRounds   = 3
	crashedAtOnce = 2
	crashGap      = 3200 * time.Millisecond
	awayTime      = 3 * time.Second
	// rollGap is the time between two storage machines of the rolling restart, and stopGrace is grace_s of the bounds.
	rollGap   = 2 * time.Second
	stopGrace = 8 * time.Second
	// readTime is the time in which the job must be read once more after the end of all that was planned.
	readTime = 25 * time.Second
)

func rolledEvent(id string, n int) string {
	s := fmt.Sprintf("%s event %d of the draft. ", id, n)
	return strings.Repeat(s, rolledEventSize/len(s)+1)[:rolledEventSize]
}

// rolledRuns remembers how far any run has come.
type rolledRuns struct {
	mu  sync.Mutex
	far int
}

func (r *rolledRuns) stream(ctx context.Context, _ *worker, q *http.Request, out io.Writer, after int) error {
	id := q.Header.Get("X-Attempt-Id")
	for n := after + 1; n <= rolledEvents; n++ {
		if err := sleep(ctx, rolledPace); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, rolledEvent(id, n)); err != nil {
			return err
		}
		r.mu.Lock()
		r.far = max(r.far, n)
		r.mu.Unlock()
	}
	return nil
}

// reached reports whether a run has come as far as an event.
func (r *rolledRuns) reached(event int) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.far >= event
}

// playRolledStores crashes workers in the middle of a job, restarts the storage machines in turn, and checks that the job can still be
// read.
func playRolledStores(ctx context.Context, s *stage) (bool, error) {
	r := &rolledRuns{}
	if err := s.open(ctx, rolledWorkers, batchLimits{waitSeconds: 110}, r.stream); err != nil {
		return false, err
	}
	var items []batchItem
	for i := range rolledItems {
		items = append(items, batchItem{
			ID: fmt.Sprintf("item-%02d", i), Path: batchPrefix + "draft", Body: []byte("draft"), Tokens: rolledTokens,
			Headers: map[string]string{"X-Model": "m", "X-Token-Count": "500,59500", "X-Prompt-Prefix": fmt.Sprintf("9c2e41:300,%d:200", i)},
		})
	}
	if err := s.submit(ctx, rolledJob, items); err != nil {
		return false, err
	}
	if err := await(ctx, func() bool { return r.reached(crashesAfter) }); err != nil {
		return false, err
	}
	if s.trouble {
		if err := s.crashAndRoll(ctx, r.stream); err != nil {
			return false, err
		}
	} else if err := await(ctx, func() bool { return r.reached(rolledEvents) }); err != nil {
		return false, err
	}
	return s.readAgain(ctx)
}

// crashAndRoll crashes workers, others of which come in their places, and then restarts the storage machines in turn.
func (s *stage) crashAndRoll(ctx context.Context, f answerer) error {
	old := s.workers
	for round := range crashRounds {
		l := old[round*crashedAtOnce : (round+1)*crashedAtOnce]
		for _, w := range l {
			s.note("worker %s crashes with %d runs under way", w.id, len(w.runs()))
			w.crash()
		}
		time.AfterFunc(awayTime, func() {
			for _, w := range l {
				if _, err := s.startWorker(w.id+"b", w.zone, f); err != nil {
					s.note("%v", err)
				}
			}
		})
		if err := sleep(ctx, crashGap); err != nil {
			return err
		}
	}
	if err := sleep(ctx, rollGap); err != nil {
		return err
	}
	for _, m := range s.of(classStorage) {
		s.note("%s gets SIGTERM", m.name)
		s.signal(m, syscall.SIGTERM, stopGrace)
		if err := s.start(m); err != nil {
			return err
		}
		s.note("%s has stopped and is started again", m.name)
		if err := sleep(ctx, rollGap); err != nil {
			return err
		}
	}
	return nil
}

// readAgain reports whether the job can be read from its start, and whether no storage process has ended by itself.
func (s *stage) readAgain(ctx context.Context) (bool, error) {
	end := time.Now().Add(readTime)
	fronts := s.of(classFrontend)
	for n := 0; time.Now().Before(end); n++ {
		m := fronts[n%len(fronts)]
		status, b := s.clientCall(ctx, m, http.MethodGet, "/siskinrun/lots/"+rolledJob+"?after=0", "", "")
		s.note("the job is read at %s: %d, %d bytes", m.name, status, len(b))
		if status == http.StatusOK {
			n := s.ownEnds(classStorage)
			s.note("storage processes have ended by themselves %d times", n)
			return n == 0, nil
		}
		if err := sleep(ctx, time.Second); err != nil {
			return false, err
		}
	}
	s.note("the job can't be read; storage processes have ended by themselves %d times", s.ownEnds(classStorage))
	return false, nil
}
