package main

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

// crashes are the times at which workers crashed and at which they got requests with the deadly part.
type crashes struct {
	mu    sync.Mutex
	ended []time.Time
	sends []time.Time
}

func (c *crashes) add(l *[]time.Time, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*l = append(*l, at)
}

// late returns the number of sends later than learning after the last crash that is borne.
func (c *crashes) late() int {
	return c.lateAfter(crashesBorne)
}

// lateAfter returns the number of sends later than learning after a number of crashes.
func (c *crashes) lateAfter(borne int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.ended) < borne {
		return 0
	}
	n := 0
	for _, s := range c.sends {
		if s.After(c.ended[borne-1].Add(learning)) {
			n++
		}
	}
	return n
}

// crashFleet is a fleet whose workers crash on one part of a prompt and come back.
type crashFleet struct {
	*platformFleet
	crashes crashes
}

func (f *crashFleet) startWorkers(ctx context.Context) {
	for i := range crashWorkers {
		f.arm(ctx, f.startWorker(ctx, fmt.Sprint("i-", i), "v1"), nil)
	}
}

// arm lets a worker crash on the deadly part, and on requests for which begins returns true, and come back.
func (f *crashFleet) arm(ctx context.Context, w *platformWorker, begins func(q *http.Request) bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.deadly = deadlyPart
	w.begins = begins
	w.received = func(prompt string) {
		if isDeadly(prompt) {
			f.crashes.add(&f.crashes.sends, f.timer.Now())
		}
	}
	w.ended = func(w *platformWorker) {
		f.crashes.add(&f.crashes.ended, f.timer.Now())
		f.group.Go("return", func(context.Context) error {
			if f.timer.Sleep(ctx, workerReturn) == nil {
				w.restart(ctx, w.currentVersion())
			}
			return nil
		})
	}
}

// traffic sends requests to the entry hosts in turn until ctx ends and returns how many of them were answered whole.
type traffic struct {
	fleet  *crashFleet
	name   string
	every  time.Duration
	prompt func(n int) string
	// path is the path of the requests, empty for the usual one.
	path string

	mu       sync.Mutex
	sent     int
	answered int
	statuses map[int]int
}

func (r *traffic) run(ctx context.Context) error {
	r.statuses = map[int]int{}
	g := group.NewGroup(ctx)
	for n := 0; ; n++ {
		if r.fleet.timer.Sleep(ctx, r.every) != nil {
			return g.Wait()
		}
		host := platformEntries[n%len(platformEntries)]
		g.Go("request", func(ctx context.Context) error {
			r.send(ctx, host, n)
			return nil
		})
	}
}

func (r *traffic) send(ctx context.Context, host string, n int) {
	s, err := r.fleet.open(ctx, host, streamRequest{id: fmt.Sprint(r.name, "-", n), prompt: r.prompt(n), path: r.path})
	if err != nil {
		return
	}
	defer func() { _ = s.body.Close() }()
	begun := s.status == http.StatusOK && s.read(1) == nil
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sent++
	r.statuses[s.status]++
	if begun {
		r.answered++
	}
}

// counts returns the requests sent and answered so far.
func (r *traffic) counts() (sent, answered int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.sent, r.answered
}

// awaitCrashes waits for as many crashes as are borne, or for the time in which they would come.
func (f *crashFleet) awaitCrashes(ctx context.Context) {
	until := f.timer.Now().Add(crashTime)
	for f.crashes.count() < crashesBorne && f.timer.Now().Before(until) {
		is.New(f.t).NoErr(f.timer.Sleep(ctx, pollInterval))
	}
}

// sent returns the number of sends.
func (c *crashes) sent() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.sends)
}

func (c *crashes) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.ended)
}

// isDeadly reports whether a prompt holds the deadly part before its last one.
func isDeadly(prompt string) bool {
	return slices.Contains(partIDs(prompt), deadlyPart)
}
