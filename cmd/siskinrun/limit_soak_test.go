package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

const (
	limitSoakHosts   = 6
	limitSoakWorkers = 4
	limitSoakEvery   = 40 * time.Millisecond
)

// limitSeeds lists the seeds that CI runs: fixed ones, and those that have ever failed, each with its cause.
var limitSeeds = []uint64{
	1, // never failed; the fixed run of CI
}

// limitSoak plays faults of hosts and workers that name limits which begin, change and end.
type limitSoak struct {
	*platformFleet
	limitedWorkers
	hosts  *hostFaults
	random *rand.Rand

	mu       sync.Mutex
	faults   []hostFault
	statuses map[int]int
	// limits holds the schedule of each worker by its ID, and restarts when its runs began.
	limits   map[string][]limitSpell
	restarts map[string][]time.Time
}

// hostFault is the time in which a host was disturbed.
type hostFault struct {
	host     int
	from, to time.Time
}

// limitSpell is the limit that a worker names from a time on, negative for none.
type limitSpell struct {
	from  time.Time
	limit float64
}

// TestLimitSoak injects random faults, reproducible by seed, while workers name limits that begin, change and end, and checks
// what workers got from the hosts that were left alone, and that what was refused has not run.
func TestLimitSoak(t *testing.T) {
	playSeeds(t, limitSeeds, playLimitSoak)
}

func playLimitSoak(t *testing.T, seed uint64) {
	is := is.New(t)
	p, ctx := newPlatformFleetOf(t, platformHosts(limitSoakHosts))
	s := &limitSoak{
		platformFleet: p, hosts: &hostFaults{fleet: p}, random: rand.New(rand.NewPCG(seed, seed)), statuses: map[int]int{},
		limits: map[string][]limitSpell{}, restarts: map[string][]time.Time{},
	}
	for i := range limitSoakWorkers {
		w := newLimitedWorker(p, i)
		s.schedule(w)
		p.run(ctx, w)
		s.workers = append(s.workers, w)
	}
	p.await(ctx, "readiness", func() error { return p.ready(ctx) })
	traffic, stop := context.WithCancel(ctx)
	g := group.NewGroup(traffic)
	g.Go("traffic", s.send)
	s.injectFaults(ctx)
	calmFrom := s.timer.Now()
	is.NoErr(s.timer.Sleep(ctx, calm))
	serving, runs := atWork(s.workers, calmFrom)
	stop()
	_ = g.Wait()
	over := 0
	for _, w := range s.workers {
		over += s.over(w)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t.Logf("seed %d: statuses %v, %d faults of hosts, %d spans over a limit, %d of %d refused requests ran; %d workers serve, %d runs while calm",
		seed, s.statuses, len(s.faults), over, s.untrue(), len(s.refused), serving, runs)
	is.Equal(over, 0)
	is.Equal(s.untrue(), 0)
	is.True(s.statuses[http.StatusOK] > 0)
	is.Equal(serving, limitSoakWorkers)
	is.True(runs > 0)
}

// schedule gives a worker limits that begin, change and end.
func (s *limitSoak) schedule(w *platformWorker) {
	at := s.timer.Now()
	var l []limitSpell
	for range 40 {
		l = append(l, limitSpell{at, []float64{-1, 0.5, 1, 2.5, 5}[s.random.IntN(5)]})
		at = at.Add(time.Duration(2+s.random.IntN(8)) * time.Second)
	}
	s.limits[w.id] = l
	w.limit = func(at time.Time) string {
		if n := limitAt(l, at); n >= 0 {
			return strconv.FormatFloat(n, 'f', -1, 64)
		}
		return ""
	}
}

// limitAt returns the limit of a schedule at a time, negative for none.
func limitAt(l []limitSpell, at time.Time) float64 {
	n := -1.0
	for _, k := range l {
		if k.from.After(at) {
			break
		}
		n = k.limit
	}
	return n
}

// send sends requests whose IDs name their entry host, until ctx ends.
func (s *limitSoak) send(ctx context.Context) error {
	r := rand.New(rand.NewPCG(27, 27))
	g := group.NewGroup(ctx)
	for n := 0; s.timer.Sleep(ctx, limitSoakEvery) == nil; n++ {
		h := r.IntN(limitSoakHosts)
		g.Go("request", func(ctx context.Context) error {
			id := fmt.Sprintf("%d-%d", h, n)
			c, err := s.open(ctx, s.entries[h], streamRequest{id: id, prompt: fmt.Sprintf("shared%d:50,s%d:10", n%7, n), patience: routeTimeout})
			if err != nil {
				return nil // the host is down
			}
			defer func() { _ = c.body.Close() }()
			_ = c.read(workerEvents + 1)
			if c.status == http.StatusServiceUnavailable {
				s.refuse(id)
			}
			s.mu.Lock()
			defer s.mu.Unlock()
			s.statuses[c.status]++
			return nil
		})
	}
	return g.Wait()
}

// injectFaults starts faults of hosts and workers, which overlap, and waits until all have ended.
func (s *limitSoak) injectFaults(ctx context.Context) {
	g := group.NewGroup(ctx)
	until := s.timer.Now().Add(*soakTime)
	for s.timer.Now().Before(until) {
		_ = s.timer.Sleep(ctx, time.Duration(500+s.random.IntN(2500))*time.Millisecond)
		d := time.Duration(200+s.random.IntN(1800)) * time.Millisecond
		kind, h, w := s.random.IntN(4), s.random.IntN(limitSoakHosts), s.workers[s.random.IntN(limitSoakWorkers)]
		name := s.entries[h]
		if kind == 3 {
			name = w.id
		}
		if !s.hosts.reserve(name) {
			continue
		}
		g.Go("fault", func(ctx context.Context) error {
			defer s.hosts.release(name)
			s.play(ctx, kind, h, w, d)
			return nil
		})
	}
	_ = g.Wait()
}

// play plays one fault: a host is killed, stopped or suspended, or a worker crashes, and comes back.
func (s *limitSoak) play(ctx context.Context, kind, h int, w *platformWorker, d time.Duration) {
	if kind == 3 {
		w.crash()
		_ = s.timer.Sleep(ctx, d)
		s.mu.Lock()
		s.restarts[w.id] = append(s.restarts[w.id], s.timer.Now())
		s.mu.Unlock()
		w.restart(ctx, w.currentVersion())
		return
	}
	host, from := s.entries[h], s.timer.Now()
	switch kind {
	case 0:
		s.hosts.crash(ctx, host, d)
	case 1:
		s.hosts.terminate(ctx, host, d)
	case 2:
		s.hosts.suspend(ctx, host, d)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = append(s.faults, hostFault{h, from, s.timer.Now()})
}

// over returns the number of spans in which a worker got more than its limit allows from hosts that were left alone.
func (s *limitSoak) over(w *platformWorker) int {
	runs := w.ran()
	n := 0
	for i, r := range runs {
		to := r.at.Add(limitSpan)
		most, named := s.allowed(w, r.at, to)
		if !named {
			continue
		}
		k := 0
		for _, o := range runs[i:] {
			if o.at.Before(to) && !s.disturbed(o.id, r.at.Add(-limitLearning), to) {
				k++
			}
		}
		if float64(k) > most {
			n++
			s.t.Logf("%s got %d requests in 4 s from %v on, allowed %.1f", w.id, k, r.at.Sub(runs[0].at).Round(time.Millisecond), most)
		}
	}
	return n
}

// allowed returns how many requests a worker may get in a span by the highest limit in it, and reports whether one run of it
// has named a limit since limitLearning before and all through the span.
func (s *limitSoak) allowed(w *platformWorker, from, to time.Time) (most float64, named bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	since := from.Add(-limitLearning)
	for _, t := range s.restarts[w.id] {
		if !t.Before(since) && t.Before(to) {
			return 0, false
		}
	}
	highest := limitAt(s.limits[w.id], since)
	if highest < 0 {
		return 0, false
	}
	for _, k := range s.limits[w.id] {
		if k.from.Before(since) || !k.from.Before(to) {
			continue
		}
		if k.limit < 0 {
			return 0, false
		}
		highest = max(highest, k.limit)
	}
	return mostInSpan(highest), true
}

// disturbed reports whether the entry host that a request's ID names was disturbed within two times.
func (s *limitSoak) disturbed(id string, from, to time.Time) bool {
	h, _, _ := strings.Cut(id, "-")
	n, _ := strconv.Atoi(h)
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.ContainsFunc(s.faults, func(f hostFault) bool {
		return f.host == n && f.from.Before(to) && f.to.After(from)
	})
}
