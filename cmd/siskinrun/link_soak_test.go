package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
)

const (
	// linkSoakBulk is the number of workers for items, linkSoakJobs that of jobs, and linkSoakItems that of the items of a job.
	linkSoakBulk  = 2
	linkSoakJobs  = 2
	linkSoakItems = 24
	// linkSoakEnd bounds the wait for the items of jobs once all is healed.
	linkSoakEnd = 10 * time.Second
	// linkCalm is the time after the last fault from which on all first tries are served, and linkJudged how long they are sent.
	linkCalm   = 1500 * time.Millisecond
	linkJudged = time.Second
	// tunnelEnd is the time after the last call within which no tunnel is left.
	tunnelEnd = 2 * time.Second
	// linkHealing is the time at the end of the soak in which no fault begins.
	linkHealing = 1500 * time.Millisecond
)

// linkSeeds lists the seeds that CI runs: fixed ones, and those that have ever failed, each with its cause.
var linkSeeds = []uint64{
	31, // never failed; the fixed run of CI, with faults of all kinds
}

// linkSoak plays faults of links, hosts and workers while calls of all kinds come.
type linkSoak struct {
	*linkFleet
	traffic linkTraffic
	faults  linkFaults
	random  *rand.Rand
	began   time.Time
}

// TestLinkSoak cuts links between hosts and upstreams at random, reproducible by seed, while hosts stop, workers crash or are
// silent, and calls of all kinds come, and checks what callers and workers got.
func TestLinkSoak(t *testing.T) {
	playSeeds(t, linkSeeds, playLinkSoak)
}

func playLinkSoak(t *testing.T, seed uint64) {
	is := is.New(t)
	s := &linkSoak{random: rand.New(rand.NewPCG(seed, seed))}
	t.Cleanup(func() { s.logEvents(t, seed) })
	checkGoroutines(t)
	f, ctx := newLinkFleet(t)
	s.linkFleet, s.began = f, f.timer.Now()
	s.faults = linkFaults{fleet: f, began: s.began, open: map[string]bool{}}
	s.traffic = linkTraffic{fleet: f, kept: f.newKeptCallers(t), seed: seed}
	var jobs [][]jobItem
	for i := range linkSoakBulk {
		s.startBulk(ctx, i)
	}
	calling, stop := context.WithCancel(ctx)
	g := group.NewGroup(calling)
	g.Go("traffic", s.traffic.run)
	for i := range linkSoakJobs {
		jobs = append(jobs, s.newJob(i))
		h := f.entries[s.random.IntN(linkHosts)]
		g.Go("job", func(context.Context) error {
			f.await(ctx, "job", func() error { return f.submit(ctx, h, fmt.Sprint("job-", i), jobs[i]) })
			return nil
		})
	}
	s.inject(ctx)
	t.Logf("all is healed after %v: %d cuts, %d stops", f.timer.Now().Sub(s.began), s.faults.count(cutOff), s.faults.count(down))
	is.NoErr(f.timer.Sleep(ctx, linkCalm))
	calm := f.timer.Now()
	is.NoErr(f.timer.Sleep(ctx, linkJudged))
	stop()
	is.NoErr(g.Wait())
	for i, l := range jobs {
		f.awaitItems(fmt.Sprint("job-", i), l, linkSoakEnd)
	}
	s.checkServed(t, seed, calm)
	s.checkStreams(t)
	s.checkRuns(t)
	s.checkTunnels(ctx, t)
}

// logEvents logs the faults of a run that has failed.
func (s *linkSoak) logEvents(t *testing.T, seed uint64) {
	if t.Failed() {
		t.Logf("seed %d has failed; its faults:\n%s", seed, s.faults.events())
	}
}

// newJob returns the items of a job.
func (s *linkSoak) newJob(n int) []jobItem {
	var l []jobItem
	for i := range linkSoakItems {
		l = append(l, jobItem{
			ID: fmt.Sprint(itemPrefix, n, "-", i), Path: fmt.Sprint(lotsPath, n, "/", i), Headers: map[string]string{}, Body: []byte("x"), Tokens: 10,
		})
	}
	return l
}

// startBulk starts a worker for items.
func (s *linkSoak) startBulk(ctx context.Context, i int) {
	w := &plainWorker{fleet: s.plainFleet, slot: linkDesks + i, deadly: map[plainRequest]bool{}}
	w.platformWorker = &platformWorker{
		fleet: s.platformFleet, id: fmt.Sprint("b-", i), service: "bulk", version: "v1", born: 1, alive: true, zone: "a", plain: w.servePlain,
	}
	s.run(ctx, w.platformWorker)
}

// inject starts faults in series, which overlap, and waits until all have ended.
func (s *linkSoak) inject(ctx context.Context) {
	g := group.NewGroup(ctx)
	until := s.timer.Now().Add(*soakTime - linkHealing)
	cutting, stop := context.WithTimeout(ctx, *soakTime)
	defer stop()
	for s.timer.Now().Before(until) {
		for range 1 + s.random.IntN(3) {
			s.start(cutting, g, rand.New(rand.NewPCG(s.random.Uint64(), s.random.Uint64())))
			_ = s.timer.Sleep(ctx, time.Duration(s.random.IntN(400))*time.Millisecond)
		}
		_ = s.timer.Sleep(ctx, time.Duration(400+s.random.IntN(1200))*time.Millisecond)
	}
	_ = g.Wait()
}

// start starts a fault of a random kind. The links that it cuts are healed when cutting ends.
func (s *linkSoak) start(cutting context.Context, g *group.Group, r *rand.Rand) {
	switch k := r.IntN(12); {
	case k < 6:
		s.startCut(cutting, g, r)
	case k < 8:
		s.startStop(g, r)
	case k == 8:
		s.startSilence(g, r)
	case k < 11:
		s.startCrash(g, r)
	default:
		s.startEnd(g, r)
	}
}

// startCut cuts links of one host, of a random share of all or of a failure domain, or of some hosts to some upstreams.
func (s *linkSoak) startCut(cutting context.Context, g *group.Group, r *rand.Rand) {
	hosts := s.entries
	order := r.Perm(linkHosts)
	n := 1
	var some []string
	switch r.IntN(5) {
	case 0, 1:
		n = 1 + r.IntN(linkHosts-1)
	case 2:
		d := r.IntN(len(platformEntries))
		order = []int{d, d + len(platformEntries), d + 2*len(platformEntries)}
		n = len(order)
	case 3:
		n = 1 + r.IntN(linkHosts-1)
		some = s.someUpstreams(r)
	}
	way := []link{hang, resets, refuse}[r.IntN(3)]
	flaps := 1
	if r.IntN(4) == 0 {
		flaps = 2 + r.IntN(3)
	}
	for _, i := range order[:n] {
		if !s.faults.take(cutOff, hosts[i]) {
			continue
		}
		c := linkCut{host: hosts[i], way: way, upstreams: some, flaps: flaps, random: rand.New(rand.NewPCG(r.Uint64(), r.Uint64()))}
		g.Go("cut", func(context.Context) error {
			s.faults.cut(cutting, c)
			return nil
		})
	}
}

// someUpstreams returns the addresses of a random share of the workers.
func (s *linkSoak) someUpstreams(r *rand.Rand) []string {
	var l []string
	for _, w := range s.engines {
		if r.IntN(2) == 0 {
			l = append(l, w.currentAddress())
		}
	}
	s.plainFleet.mu.Lock()
	defer s.plainFleet.mu.Unlock()
	for i := range linkDesks {
		if r.IntN(2) == 0 {
			l = append(l, s.workers[i].currentAddress())
		}
	}
	return l
}

// startStop stops a host, often one that has its links while others have lost theirs, and starts it again.
func (s *linkSoak) startStop(g *group.Group, r *rand.Rand) {
	h := s.entries[r.IntN(linkHosts)]
	if r.IntN(2) == 0 {
		h = s.faults.free(r.Perm(linkHosts))
	}
	away := time.Duration(r.IntN(1500)) * time.Millisecond
	if !s.faults.take(down, h) {
		return
	}
	g.Go("stop", func(ctx context.Context) error {
		s.faults.stop(ctx, h, away)
		return nil
	})
}

// startSilence makes a worker silent for a second.
func (s *linkSoak) startSilence(g *group.Group, r *rand.Rand) {
	w := s.engines[r.IntN(linkEngines)]
	if !s.faults.take(upstreamFault, w.id) {
		return
	}
	g.Go("silence", func(ctx context.Context) error {
		defer s.faults.release(upstreamFault, w.id)
		s.faults.note("%s is silent for a second", w.id)
		w.silence(time.Second)
		return s.timer.Sleep(ctx, time.Second)
	})
}

// startCrash crashes a worker for streams, which comes back with its version or another one.
func (s *linkSoak) startCrash(g *group.Group, r *rand.Rand) {
	w := s.engines[r.IntN(linkEngines)]
	version := fmt.Sprint("v", 1+r.IntN(2))
	away := time.Duration(200+r.IntN(1500)) * time.Millisecond
	if !s.faults.take(upstreamFault, w.id) {
		return
	}
	g.Go("crash", func(ctx context.Context) error {
		defer s.faults.release(upstreamFault, w.id)
		s.faults.note("%s crashes", w.id)
		w.crash()
		err := s.timer.Sleep(ctx, away)
		w.restart(s.context, version)
		s.faults.note("%s is back as %s", w.id, version)
		return err
	})
}

// startEnd crashes a worker for plain calls, which comes back under another name.
func (s *linkSoak) startEnd(g *group.Group, r *rand.Rand) {
	slot := r.IntN(linkDesks)
	name := fmt.Sprint("desk ", slot)
	if !s.faults.take(upstreamFault, name) {
		return
	}
	g.Go("end", func(ctx context.Context) error {
		defer s.faults.release(upstreamFault, name)
		s.plainFleet.mu.Lock()
		w := s.workers[slot]
		s.plainFleet.mu.Unlock()
		s.faults.note("%s crashes", w.id)
		w.end(s.context)
		err := s.timer.Sleep(ctx, plainReturn+2*heartbeatInterval)
		s.faults.note("%s is back", name)
		return err
	})
}

// checkRuns checks that no call that was refused reached a worker, and that none that may run once ran twice.
func (s *linkSoak) checkRuns(t *testing.T) {
	t.Helper()
	streams := s.streamRuns()
	s.plainFleet.mu.Lock()
	defer s.plainFleet.mu.Unlock()
	refusals, ran := 0, 0
	for _, y := range s.traffic.tries {
		n := streams[y.id] + s.reached[y.id]
		refused := y.status == http.StatusServiceUnavailable || y.status == http.StatusTooManyRequests
		if refused {
			refusals++
		}
		if refused && n > 0 {
			ran++
			t.Errorf("%s at %v was refused by %s (%s) and reached workers %d times", y.id, y.at.Sub(s.began), y.host, y.outcome, n)
		}
		if n > 1 && (y.kind == singlePath || y.kind == tellPath) {
			t.Errorf("%s at %v by %s may run once and ran %d times", y.id, y.at.Sub(s.began), y.host, n)
		}
	}
	t.Logf("%d refused, %d of them ran", refusals, ran)
}
