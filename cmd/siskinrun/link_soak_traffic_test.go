package main

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"siskinrun/internal/base/group"
)

// linkPatience bounds one call of the soak, longer than any route's timeout.
const linkPatience = routeTimeout + time.Second

// linkTry is a call of a linkTraffic, or a stream that was taken up again.
type linkTry struct {
	firstTry
	ended time.Time
	// kept means that the caller uses open connections again.
	kept bool
	// again means that the caller had sent the call before.
	again bool
	// reads is the number of events that the caller reads before it leaves.
	reads int
}

// linkTraffic is calls of all kinds that keep coming at all hosts, over new connections and over open ones.
type linkTraffic struct {
	fleet *linkFleet
	// kept sends over connections that stay open.
	kept *linkFleet
	seed uint64

	mu    sync.Mutex
	tries []linkTry
	// faults are the streams that no caller may get.
	faults []string
	// takenUp counts the streams that were taken up at other hosts, and wentOn those that brought more events.
	takenUp, wentOn int
}

// newKeptCallers returns the fleet as callers see it that use open connections until their host is gone.
func (f *linkFleet) newKeptCallers(t *testing.T) *linkFleet {
	p := *f.platformFleet
	x := &http.Transport{MaxIdleConnsPerHost: 64}
	p.http = &http.Client{Transport: x}
	t.Cleanup(x.CloseIdleConnections)
	return &linkFleet{plainFleet: p.newPlain(f.context, plainSetup{})}
}

func (l *linkTraffic) run(ctx context.Context) error {
	g := group.NewGroup(ctx)
	for i, k := range strandedKinds {
		g.Go("calls", func(ctx context.Context) error { return l.send(ctx, k, rand.New(rand.NewPCG(l.seed, uint64(i)))) })
	}
	return g.Wait()
}

// send sends calls of a kind until ctx ends, and returns when all are answered.
func (l *linkTraffic) send(ctx context.Context, kind string, random *rand.Rand) error {
	g := group.NewGroup(context.WithoutCancel(ctx))
	for n := 0; ; n++ {
		if l.fleet.timer.Sleep(ctx, strandedCalls*time.Duration(70+random.IntN(60))/100) != nil {
			return g.Wait()
		}
		hosts := random.Perm(linkHosts)
		kept := random.IntN(2) == 0
		reads := workerEvents + 1
		if kind == streamPath && random.IntN(4) == 0 {
			reads = 1 + random.IntN(workerEvents)
		}
		g.Go("call", func(ctx context.Context) error {
			ctx, stop := context.WithTimeout(ctx, linkPatience)
			defer stop()
			y := linkTry{kept: kept, reads: reads}
			y.id, y.kind = fmt.Sprint("t", strings.ReplaceAll(kind, "/", "-"), n), kind
			l.call(ctx, y, hosts)
			return nil
		})
	}
}

// call sends one call to the first of some hosts.
func (l *linkTraffic) call(ctx context.Context, y linkTry, hosts []int) {
	f := l.fleet
	if y.kept {
		f = l.kept
	}
	y.host, y.at = f.entries[hosts[0]], f.timer.Now()
	if y.kind != streamPath && y.kind != tellPath {
		f.call(ctx, &y.firstTry)
		l.add(y)
		return
	}
	s := &soakStream{traffic: l, fleet: f, first: y.id}
	err := s.ask(ctx, y)
	for k := range maxTakeUps {
		if y.kind != streamPath || s.last == 0 || err == io.EOF {
			break
		}
		y.again, y.reads = true, workerEvents+1
		y.id, y.host, y.at = fmt.Sprint(s.first, "-", k), f.entries[hosts[k+1]], f.timer.Now()
		err = s.ask(ctx, y)
	}
	s.check(err)
}

func (l *linkTraffic) add(y linkTry) {
	y.ended = l.fleet.timer.Now()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tries = append(l.tries, y)
}

// fault notes a stream that no caller may get.
func (l *linkTraffic) fault(format string, a ...any) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults = append(l.faults, fmt.Sprintf(format, a...))
}

// soakStream is a stream of a caller and the attempts at it.
type soakStream struct {
	traffic *linkTraffic
	fleet   *linkFleet
	// first is the ID of the attempt that began the stream.
	first string
	last  int
	data  []string
	// hosts are the hosts that were asked.
	hosts []string
}

// ask asks for the rest of the stream, and returns io.EOF if it came to its end, nil if the caller has left.
func (s *soakStream) ask(ctx context.Context, y linkTry) error {
	q := streamRequest{id: y.id, path: y.kind + "1", body: s.first, after: s.last}
	if y.again {
		q.resumes = s.first
	}
	s.hosts = append(s.hosts, y.host)
	c, err := s.fleet.open(ctx, y.host, q)
	if err != nil {
		y.outcome = "no answer"
		s.traffic.add(y)
		return err
	}
	defer func() { _ = c.body.Close() }()
	y.status = c.status
	if c.status != http.StatusOK {
		b, _ := io.ReadAll(c.body)
		y.outcome = plainAnswer{status: c.status, body: string(b)}.kind()
		s.traffic.add(y)
		return fmt.Errorf("%s", y.outcome)
	}
	before := s.last
	err = c.read(y.reads)
	s.last, s.data = c.last, append(s.data, c.data...)
	y.served = err == nil || err == io.EOF && s.last == workerEvents
	y.outcome = "200, cut short"
	s.traffic.add(y)
	if y.again {
		s.traffic.tookUp(s.last > before)
	}
	if err != nil && strings.HasPrefix(err.Error(), "event ") {
		s.traffic.fault("%s at %v: %v", y.id, s.hosts, err)
	}
	return err
}

func (l *linkTraffic) tookUp(wentOn bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.takenUp++
	if wentOn {
		l.wentOn++
	}
}

// check checks that the stream holds the events of one version in turn, and all of them if it came to its end.
func (s *soakStream) check(err error) {
	if len(s.data) == 0 && err != io.EOF {
		return
	}
	if err == io.EOF && s.last != workerEvents {
		s.traffic.fault("%s at %v ended as complete after event %d", s.first, s.hosts, s.last)
		return
	}
	version, _, _ := strings.Cut(s.data[0], "-")
	if !slices.Equal(s.data, dataOf(version)[:min(len(s.data), workerEvents)]) {
		s.traffic.fault("%s at %v holds %v", s.first, s.hosts, s.data)
	}
}

// eventsOf are the events of a whole stream of a version.
func dataOf(version string) []string {
	var l []string
	for n := 1; n <= workerEvents; n++ {
		l = append(l, fmt.Sprint(version, "-", n))
	}
	return l
}
