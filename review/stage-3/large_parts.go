package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// Sizes of case 13: items with long outputs, of which one worker of six has its slots full when it crashes.
const (
	largeWorkers   = 6
	largeItems     = 24
	largeEvents    = 58
	largeEventSize = 64 << 10
	largePace      = 120 * time.Millisecond
	largeTokens    = 45300
	largeJob       = "5d07c19b3e52a6f8"

	// crashAfter is the share of its events after which each item of the worker has got far enough for the crash.
	crashAfter = 50
	// crashTime is how long a crashed worker is away.
	crashTime = 3 * time.Second
	// finishTime is finish_s of the bounds, and calmTime the time before its end in which nothing may hold the items up.
	finishTime = 18 * time.Second
	calmTime   = 5 * time.Second
	quietTime  = 3 * time.Second
)

// largeEvent returns the data of an event of an item.
func largeEvent(id string, n int) string {
	s := fmt.Sprintf("%s event %d of the draft. ", id, n)
	return strings.Repeat(s, largeEventSize/len(s)+1)[:largeEventSize]
}

func largeOutput(id string) string {
	var l []string
	for n := range largeEvents {
		l = append(l, largeEvent(id, n+1))
	}
	return strings.Join(l, "\n")
}

// largeRuns tells how far the runs on each worker have come.
type largeRuns struct {
	progress chan struct {
		worker *worker
		event  int
	}
}

// stream streams the events of an item at a steady pace.
func (r *largeRuns) stream(ctx context.Context, w *worker, q *http.Request, out io.Writer, after int) error {
	id := q.Header.Get("X-Attempt-Id")
	for n := after + 1; n <= largeEvents; n++ {
		if err := sleep(ctx, largePace); err != nil {
			return err
		}
		if _, err := fmt.Fprintf(out, "id: %d\ndata: %s\n\n", n, largeEvent(id, n)); err != nil {
			return err
		}
		r.progress <- struct {
			worker *worker
			event  int
		}{w, n}
	}
	return nil
}

// playLargeParts submits items with long outputs, crashes one worker in the middle of them and checks that all items end.
func playLargeParts(ctx context.Context, s *stage) (bool, error) {
	r := &largeRuns{}
	r.progress = make(chan struct {
		worker *worker
		event  int
	}, 1<<16)
	if err := s.open(ctx, largeWorkers, siteLimits, r.stream); err != nil {
		return false, err
	}
	var items []batchItem
	for i := range largeItems {
		items = append(items, batchItem{
			ID: fmt.Sprintf("item-%02d", i), Path: batchPrefix + "draft", Body: []byte("draft"), Tokens: largeTokens,
			Headers: map[string]string{"X-Model": "m", "X-Token-Count": "300,45000", "X-Prompt-Prefix": fmt.Sprintf("9c2e41:300,%d:200", i)},
		})
	}
	if err := s.submit(ctx, largeJob, items); err != nil {
		return false, err
	}
	submitted := time.Now()
	if s.trouble {
		if err := r.crashOne(ctx, s); err != nil {
			return false, err
		}
	}
	return r.judge(ctx, s, submitted)
}

// crashOne crashes the first worker on which all slots have come far, and starts another one in its place later.
func (r *largeRuns) crashOne(ctx context.Context, s *stage) error {
	far := map[*worker]int{}
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case p := <-r.progress:
			if p.event == crashAfter {
				far[p.worker]++
			}
			if far[p.worker] < largeItems/largeWorkers {
				continue
			}
			s.note("worker %s crashes with %d runs under way", p.worker.id, len(p.worker.runs()))
			p.worker.crash()
			if err := sleep(ctx, crashTime); err != nil {
				return err
			}
			_, err := s.startWorker(p.worker.id+"b", p.worker.zone, r.stream)
			return err
		}
	}
}

// judge reads the results until all items are listed or their time is over.
func (r *largeRuns) judge(ctx context.Context, s *stage, submitted time.Time) (bool, error) {
	outputs := map[string]listed{}
	lastDone := time.Now()
	lastRun := time.Now()
	fronts := s.of(classFrontend)
	for n := 0; len(outputs) < largeItems; n++ {
		if l, ok := s.results(ctx, fronts[n%len(fronts)], largeJob, len(outputs)); ok && len(l) > 0 {
			for _, x := range l {
				outputs[x.ID] = x
				s.note("%s is listed as %s with %d bytes", x.ID, x.State, len(x.Output))
			}
			lastDone = time.Now()
			continue
		}
		if s.unlistedRuns(outputs) {
			lastRun = time.Now()
		}
		now := time.Now()
		if now.Sub(submitted) > 2*finishTime && now.Sub(lastRun) > calmTime && now.Sub(lastDone) > quietTime {
			break
		}
		if err := sleep(ctx, 2*pollInterval); err != nil {
			return false, err
		}
	}
	s.note("%d of %d items are listed, %.1f s after the job was accepted", len(outputs), largeItems, time.Since(submitted).Seconds())
	s.note("no worker has had an unlisted item for %.1f s, no item was listed for %.1f s", time.Since(lastRun).Seconds(), time.Since(lastDone).Seconds())
	wrong := 0
	for id, x := range outputs {
		if x.State != "completed" || x.Output != largeOutput(id) {
			s.note("%s is %s and its output isn't the whole one", id, x.State)
			wrong++
		}
	}
	return wrong == 0 && len(outputs) == largeItems, nil
}

// unlistedRuns reports whether a worker runs an item that isn't listed.
func (s *stage) unlistedRuns(outputs map[string]listed) bool {
	for _, w := range s.workers {
		for id := range w.runs() {
			if _, ok := outputs[id]; !ok {
				return true
			}
		}
	}
	return false
}
