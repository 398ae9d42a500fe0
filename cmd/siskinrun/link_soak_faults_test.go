package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

// faultKind is the kind of a fault of a linkFaults.
type faultKind string

const (
	// cutOff means that links of a host are cut, and down that a host stops, is stopped or starts.
	cutOff faultKind = "cut"
	down   faultKind = "down"
	// upstreamFault is one of a worker.
	upstreamFault faultKind = "upstream"
)

// faultSpell is the time in which a host had a fault; it has not ended if to is zero.
type faultSpell struct {
	kind     faultKind
	host     string
	from, to time.Time
}

// covers reports whether the spell holds at a time.
func (s faultSpell) covers(at time.Time) bool {
	return !at.Before(s.from) && (s.to.IsZero() || at.Before(s.to))
}

// linkFaults plays faults of links, hosts and workers. One host at least always runs with all of its links.
type linkFaults struct {
	fleet *linkFleet
	began time.Time

	mu sync.Mutex
	// open holds the faults in progress by kind and name.
	open   map[string]bool
	spells []*faultSpell
	lines  []string
}

// linkCut is a cut of links of one host.
type linkCut struct {
	host string
	way  link
	// upstreams are the addresses to which the links are cut, empty for all.
	upstreams []string
	// flaps is how often the links are cut.
	flaps  int
	random *rand.Rand
}

// take reserves a host or worker for a fault of a kind, and returns false if one is in progress there or no host would be left.
func (f *linkFaults) take(k faultKind, name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open[string(k)+name] {
		return false
	}
	left := slices.ContainsFunc(f.fleet.entries, func(h string) bool { return h != name && f.isFree(h) })
	if k != upstreamFault && !left {
		return false
	}
	f.open[string(k)+name] = true
	return true
}

// isFree reports whether a host runs with all of its links; the caller holds the lock.
func (f *linkFaults) isFree(host string) bool {
	return !f.open[string(cutOff)+host] && !f.open[string(down)+host]
}

// free returns the first host in an order that runs with all of its links.
func (f *linkFaults) free(order []int) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := slices.IndexFunc(order, func(i int) bool { return f.isFree(f.fleet.entries[i]) })
	return f.fleet.entries[order[max(i, 0)]]
}

func (f *linkFaults) release(k faultKind, name string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.open, string(k)+name)
}

// note adds a line to the events.
func (f *linkFaults) note(format string, a ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lines = append(f.lines, fmt.Sprintf("%6d ms %s  %s", f.fleet.timer.Now().Sub(f.began).Milliseconds(),
		f.fleet.timer.Now().UTC().Format("15:04:05.000"), fmt.Sprintf(format, a...)))
}

func (f *linkFaults) events() string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return strings.Join(f.lines, "\n")
}

// count returns the number of faults of a kind that hosts had.
func (f *linkFaults) count(k faultKind) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, s := range f.spells {
		if s.kind == k {
			n++
		}
	}
	return n
}

// begin begins a spell of a host, and returns what ends it.
func (f *linkFaults) begin(k faultKind, host string) (end func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := &faultSpell{kind: k, host: host, from: f.fleet.timer.Now()}
	f.spells = append(f.spells, s)
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		s.to = f.fleet.timer.Now()
	}
}

// cut cuts links as often as c says, each time for a while, and lets the host go.
func (f *linkFaults) cut(ctx context.Context, c linkCut) {
	defer f.release(cutOff, c.host)
	for i := 0; i < c.flaps && ctx.Err() == nil; i++ {
		d := time.Duration(500+c.random.IntN(3500)) * time.Millisecond
		if c.flaps > 1 {
			d = time.Duration(100+c.random.IntN(1400)) * time.Millisecond
		}
		f.note("%s: %s, upstreams %v", c.host, c.way, c.upstreams)
		end := f.begin(cutOff, c.host)
		f.set(c, c.way)
		_ = f.fleet.timer.Sleep(ctx, d)
		f.set(c, sound)
		end()
		f.note("%s: healed", c.host)
		if c.flaps > 1 {
			_ = f.fleet.timer.Sleep(ctx, time.Duration(50+c.random.IntN(800))*time.Millisecond)
		}
	}
}

// set sets the links that c names.
func (f *linkFaults) set(c linkCut, l link) {
	if len(c.upstreams) == 0 {
		f.fleet.cut(l, c.host)
	}
	for _, a := range c.upstreams {
		if l == sound {
			f.fleet.board.forget(c.host, a)
			continue
		}
		f.fleet.board.set(c.host, a, l)
	}
}

// stop stops a host, starts it again and waits until it serves.
func (f *linkFaults) stop(ctx context.Context, host string, away time.Duration) {
	defer f.release(down, host)
	f.note("%s: told to stop", host)
	end := f.begin(down, host)
	f.fleet.terminate(ctx, host, away)
	f.note("%s: started again", host)
	f.fleet.awaitServing(ctx, host)
	end()
	f.note("%s: serves", host)
}
