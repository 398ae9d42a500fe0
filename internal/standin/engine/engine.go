package engine

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/base/web"
	"siskinrun/internal/data/report"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/standin/announcer"
	"siskinrun/internal/standin/fault"
	"siskinrun/internal/standin/visits"
)

const stopTimeout = 5 * time.Second

// Engine is a stand-in for a model engine.
type Engine struct {
	// Upstream is what the engine announces; its address is taken from the listener.
	Upstream upstream.Upstream
	// Listener takes requests and orders.
	Listener net.Listener
	// Hosts are the addresses that take announcements.
	Hosts []string
	// Secret proves that the announcer belongs to the fleet.
	Secret string
	// Timer tells the time.
	Timer *timer.Service
	// Step is the time between tokens of an engine with one stream.
	Step time.Duration
	// StepEach is what each further stream adds to the time between tokens.
	StepEach time.Duration
	// Prefill is the time to read one block of a prompt that is not cached.
	Prefill time.Duration
	// CacheBlocks is the number of prompt blocks that the cache holds.
	CacheBlocks int
	// Fault holds the misbehaviour to come.
	Fault *fault.Fault

	mu        sync.Mutex
	slots     chan struct{}
	running   int
	waiting   int
	visits    *visits.Visits
	cancelled map[string]bool
	fence     uint64
	cache     *blocks
	base      context.Context
}

// Run serves and announces until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	e.prepare()
	e.base = ctx
	v := &fasthttp.Server{Handler: e.handle, CloseOnShutdown: true, NoDefaultServerHeader: true, MaxRequestBodySize: maxBodyBytes, Logger: silent{}}
	a := &announcer.Announcer{
		Hosts:    e.Hosts,
		Secret:   e.Secret,
		Timer:    e.Timer,
		Upstream: e.announcement,
		Report:   e.report,
	}
	g := group.NewGroup(ctx)
	g.Go("announce", a.Run)
	g.Go("cache-events", func(ctx context.Context) error { return e.publish(ctx) })
	g.Go("serve", (&web.Web{Server: v, Listener: e.Listener, StopTimeout: stopTimeout}).Run)
	return g.Wait()
}

// Runs returns how often each request was begun, by its ID.
func (e *Engine) Runs() map[string]int {
	return e.visits.Runs()
}

// Saw reports whether a text was ever received within a header value.
func (e *Engine) Saw(text string) bool {
	return e.visits.Saw(text)
}

func (e *Engine) prepare() {
	e.Upstream.Address = e.Listener.Addr().String()
	e.slots = make(chan struct{}, max(e.Upstream.Slots, 1))
	e.visits = visits.NewVisits()
	e.cancelled = map[string]bool{}
	e.cache = newBlocks(e.CacheBlocks)
}

func (e *Engine) announcement() upstream.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.Upstream
	u.Models = append([]string(nil), u.Models...)
	return u
}

func (e *Engine) report() report.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return report.Report{
		Upstream:    e.Upstream.Name,
		Incarnation: e.Upstream.Incarnation,
		Running:     e.running,
		Waiting:     e.waiting,
		CacheUsed:   e.cache.used(),
	}
}

// enter waits for a slot, as an engine that admits requests in the order of their coming.
func (e *Engine) enter(ctx context.Context) error {
	e.count(&e.waiting, 1)
	defer e.count(&e.waiting, -1)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case e.slots <- struct{}{}:
		e.count(&e.running, 1)
		return nil
	}
}

func (e *Engine) leave() {
	e.count(&e.running, -1)
	<-e.slots
}

func (e *Engine) count(n *int, by int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*n += by
}

// step returns the time between tokens at the present load.
func (e *Engine) step() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Step + time.Duration(max(e.running-1, 0))*e.StepEach
}

// silent drops the messages of the HTTP library about connections that this stand-in broke.
type silent struct{}

// Printf implements fasthttp.Logger.Printf.
func (silent) Printf(string, ...any) {}
