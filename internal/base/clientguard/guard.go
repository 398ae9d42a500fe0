package clientguard

import (
	"context"
	"sync"
	"time"

	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/clientmemory"
	"siskinrun/internal/base/timer"
)

const (
	// leaveTime bounds the wait for evicted clients to leave, and leavePoll is how often it is looked.
	leaveTime = 500 * time.Millisecond
	leavePoll = 5 * time.Millisecond
	// logInterval is the least time between two log lines.
	logInterval = 10 * time.Second
)

// Guard is the memory account of a host's clients. A nil Guard has no bounds.
type Guard struct {
	// Account decides.
	Account clientmemory.Account
	// Timer is the clock.
	Timer *timer.Service
	// Metrics receives the counters.
	Metrics metrics.Registry
	// Log receives a line at intervals while clients are evicted or rejected.
	Log zerolog.Logger

	mu     sync.Mutex
	last   uint64
	cuts   map[uint64]func()
	logged time.Time
	// evicted and rejected count what happened since the last log line.
	evicted, rejected int
}

// Open adds a connection that holds n bytes. cut closes it when it is evicted and must not block. ok is false if there is no
// room, and the connection is then not added.
func (g *Guard) Open(address string, reserved bool, n int64, cut func()) (id uint64, ok bool) {
	if g == nil {
		return 0, true
	}
	g.mu.Lock()
	g.last++
	id = g.last
	ok, l := g.Account.Open(id, address, reserved, n, g.Timer.Now())
	if ok {
		if g.cuts == nil {
			g.cuts = map[uint64]func(){}
		}
		g.cuts[id] = cut
	}
	q := g.note(ok, "clients-rejected-connections", l)
	g.mu.Unlock()
	closeAll(q)
	return id, ok
}

// Grow lets a client hold n bytes more. It waits a little for evicted clients to leave and for clients to be ranked, and returns
// false if there is no room.
func (g *Guard) Grow(id uint64, n int64) bool {
	if g == nil || n <= 0 {
		return true
	}
	start := g.Timer.Now()
	for waited := time.Duration(0); ; waited += leavePoll {
		g.mu.Lock()
		ok, l := g.Account.Grow(id, n, g.Timer.Now())
		again := !ok && waited < leaveTime && (g.Account.Leaving() > 0 || g.Account.RankedBefore(start)) && !g.Account.Evicted(id)
		q := g.note(ok || again, "clients-rejected-bytes", l)
		g.mu.Unlock()
		closeAll(q)
		if !again || g.Timer.Sleep(context.Background(), leavePoll) != nil {
			return ok
		}
	}
}

// GrowSpare lets a client hold n bytes more if half of the bound stays free, and returns false otherwise. Nobody is evicted.
func (g *Guard) GrowSpare(id uint64, n int64) (ok bool) {
	if g == nil {
		return true
	}
	g.do(func(a *clientmemory.Account, _ time.Time) {
		if ok = a.GrowSpare(id, n); !ok {
			g.count("clients-unbuffered-answers", 1)
		}
	})
	return ok
}

// GrowLarge is Grow, and lets one client at a time hold n bytes beyond the bounds. beyond reports that it does so, until its request
// ends.
func (g *Guard) GrowLarge(id uint64, n int64) (ok, beyond bool) {
	if g == nil {
		return true, false
	}
	g.do(func(a *clientmemory.Account, _ time.Time) { beyond = a.Large > 0 && a.GrowLarge(id, n) })
	if beyond {
		return true, true
	}
	return g.Grow(id, n), false
}

// Shrink records that a client holds n bytes less.
func (g *Guard) Shrink(id uint64, n int64) {
	g.do(func(a *clientmemory.Account, _ time.Time) { a.Shrink(id, n) })
}

// Progress records that bytes of a request came.
func (g *Guard) Progress(id uint64) {
	g.do(func(a *clientmemory.Account, t time.Time) { a.Progress(id, t) })
}

// Receive records that a client sends a request or is idle.
func (g *Guard) Receive(id uint64) {
	g.do(func(a *clientmemory.Account, t time.Time) { a.Receive(id, t) })
}

// Continue records that a client is to go on sending its request.
func (g *Guard) Continue(id uint64) {
	g.do(func(a *clientmemory.Account, t time.Time) { a.Continue(id, t) })
}

// Run records that the request of a client is complete.
func (g *Guard) Run(id uint64) { g.do(func(a *clientmemory.Account, t time.Time) { a.Run(id, t) }) }

// Write records that a response is being written to a client.
func (g *Guard) Write(id uint64) { g.do(func(a *clientmemory.Account, t time.Time) { a.Write(id, t) }) }

// Finish records that a request for which n bytes were held is answered.
func (g *Guard) Finish(id uint64, n int64) {
	g.do(func(a *clientmemory.Account, t time.Time) {
		a.Shrink(id, n)
		a.Receive(id, t)
	})
}

// Close removes a connection.
func (g *Guard) Close(id uint64) {
	g.do(func(a *clientmemory.Account, _ time.Time) {
		a.Close(id)
		delete(g.cuts, id)
	})
}

// Bounded reports whether the bytes that clients hold are bounded.
func (g *Guard) Bounded() bool { return g != nil && g.Account.Bytes > 0 }

// Held returns the bytes that all clients hold.
func (g *Guard) Held() int64 {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.Account.Held()
}

// Count counts a rejection by its cause.
func (g *Guard) Count(cause string) {
	g.do(func(*clientmemory.Account, time.Time) { g.note(false, cause, nil) })
}

func (g *Guard) do(f func(a *clientmemory.Account, now time.Time)) {
	if g == nil {
		return
	}
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.Account, g.Timer.Now())
}

// note counts a rejection and evictions, logs at intervals, and returns the functions that close the evicted clients.
func (g *Guard) note(ok bool, cause string, evicted []uint64) []func() {
	if ok && len(evicted) == 0 {
		return nil
	}
	if !ok {
		g.rejected++
		g.count(cause, 1)
	}
	var q []func()
	for _, id := range evicted {
		if f := g.cuts[id]; f != nil {
			q = append(q, f)
		}
	}
	g.evicted += len(evicted)
	g.count("clients-evicted", len(evicted))
	if t := g.Timer.Now(); t.Sub(g.logged) >= logInterval {
		g.Log.Warn().Int("evicted", g.evicted).Int("rejected", g.rejected).Str("cause", cause).
			Int64("held-bytes", g.Account.Held()).Int64("bytes", g.Account.Bytes).Msg("clients exceed the memory or connections for them")
		g.logged, g.evicted, g.rejected = t, 0, 0
	}
	return q
}

func (g *Guard) count(name string, n int) {
	if g.Metrics != nil {
		metrics.GetOrRegisterCounter(name, g.Metrics).Inc(int64(n))
	}
}

func closeAll(l []func()) {
	for _, f := range l {
		f()
	}
}
