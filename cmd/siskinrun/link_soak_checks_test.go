package main

import (
	"context"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"
)

// hostClass says what calls to a host at a time are compared with.
type hostClass string

const (
	// steady hosts run with all of their links all through a call, and stranded ones have lost links for a while.
	steady   hostClass = "steady"
	stranded hostClass = "stranded"
	// unjudged hosts are stopped, or one of the faults that are given some time has just begun.
	unjudged hostClass = "unjudged"
)

// healing is the time after a cut in which a host is not one of those that are compared with.
const healing = 1500 * time.Millisecond

// class returns the class of the host of a call.
func (f *linkFaults) class(y linkTry) hostClass {
	f.mu.Lock()
	defer f.mu.Unlock()
	c := steady
	for _, s := range f.spells {
		recent := s.covers(y.at) && y.at.Before(s.from.Add(contact))
		justStopped := s.kind == down && !y.at.Before(s.from) && y.at.Before(s.from.Add(contact))
		if justStopped || s.host == y.host && (recent || s.kind == down && s.covers(y.at)) {
			return unjudged
		}
		if s.host != y.host || s.kind == down {
			continue
		}
		if s.covers(y.at) {
			c = stranded
			continue
		}
		touched := s.from.Before(y.ended) && (s.to.IsZero() || s.to.Add(healing).After(y.at))
		if touched && c == steady {
			c = unjudged
		}
	}
	return c
}

// checkServed checks that hosts without links served at least two thirds as many first tries as the others, and that all were
// served at the end.
func (s *linkSoak) checkServed(t *testing.T, seed uint64, calm time.Time) {
	t.Helper()
	counts := map[hostClass]*share{}
	for _, k := range []hostClass{steady, stranded, unjudged, "calm"} {
		counts[k] = &share{others: map[string]int{}}
	}
	for _, y := range s.traffic.tries {
		if y.again {
			continue
		}
		k := s.faults.class(y)
		if !y.at.Before(calm) {
			k = "calm"
		}
		counts[k].sent++
		if y.served {
			counts[k].served++
			continue
		}
		counts[k].others[y.outcome]++
		if k == "calm" {
			t.Errorf("%s at %v at %s after all was healed: %s", y.id, y.at.Sub(s.began), y.host, y.outcome)
		}
	}
	off, on, end := counts[stranded], counts[steady], counts["calm"]
	t.Logf("seed %d: hosts without links %v; the others %v; not judged %v; at the end %v; %d streams taken up, %d went on",
		seed, off, on, counts[unjudged], end, s.traffic.takenUp, s.traffic.wentOn)
	if 3*off.served*on.sent < 2*on.served*off.sent {
		t.Errorf("hosts without links served %.2f of first tries, the others %.2f", off.ratio(), on.ratio())
	}
	if end.sent == 0 || on.served == 0 {
		t.Error("no first try was judged")
	}
}

// checkStreams checks that no stream was cut short as complete or held other events than it should.
func (s *linkSoak) checkStreams(t *testing.T) {
	t.Helper()
	for _, l := range s.traffic.faults {
		t.Error(l)
	}
}

// checkTunnels checks that no tunnel is open a while after the last call.
func (s *linkSoak) checkTunnels(ctx context.Context, t *testing.T) {
	t.Helper()
	ctx, stop := context.WithTimeout(ctx, tunnelEnd)
	defer stop()
	n := tunnelsOpen()
	for n > 0 && s.timer.Sleep(ctx, pollInterval) == nil {
		n = tunnelsOpen()
	}
	if n > 0 {
		t.Errorf("%d tunnels are open %v after the last call", n, tunnelEnd)
	}
}

// tunnelsOpen returns the number of tunnels that all hosts serve.
func tunnelsOpen() int {
	return strings.Count(stacks(), "tunnel.(*Service).serve(")
}

// checkGoroutines checks, once the fleet has stopped, that no goroutines are left.
func checkGoroutines(t *testing.T) {
	before := goroutines()
	t.Cleanup(func() {
		n := goroutines()
		for begin := time.Now(); n > before && time.Since(begin) < tunnelEnd; n = goroutines() {
			time.Sleep(pollInterval)
		}
		t.Logf("%d goroutines before, %d after the fleet has stopped", before, n)
		if n > before {
			t.Errorf("%d goroutines are left of a fleet, %d were before it:\n%s", n, before, stacks())
		}
	})
}

// lasting are the functions of libraries whose goroutines stay with the process, or look every ten seconds whether their
// server has stopped.
var lasting = []string{"fasthttp.(*workerPool).Start.func2", "fasthttp.updateServerDate.func1", "go-metrics.(*meterArbiter).tick"}

// goroutines returns the number of goroutines but the lasting ones.
func goroutines() int {
	n := 0
	for s := range strings.SplitSeq(stacks(), "\n\n") {
		if !slices.ContainsFunc(lasting, func(f string) bool { return strings.Contains(s, f) }) {
			n++
		}
	}
	return n
}

// stacks returns what all goroutines do.
func stacks() string {
	b := make([]byte, 8<<20)
	return string(b[:runtime.Stack(b, true)])
}
