package engine

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/httpserver"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/standin/announcer"
	"siskinrun/internal/standin/faultinjection"
	"siskinrun/internal/standin/requestlog"
)

const stopTimeout = 5 * time.Second

// Engine is a simulated model engine.
type Engine struct {
	// Upstream is what the engine announces; its address is taken from the listener.
	Upstream upstream.Upstream
	// Listener accepts requests and orders.
	Listener net.Listener
	// Hosts are the host addresses for announcements.
	Hosts []string
	// Secret authenticates the announcements.
	Secret string
	// Timer provides the time.
	Timer *timer.Service
	// Step is the time between tokens with one running stream.
	Step time.Duration
	// StepPerStream is the time that each further stream adds to Step.
	StepPerStream time.Duration
	// PrefillPerBlock is the prefill time of one prompt block that is not cached.
	PrefillPerBlock time.Duration
	// CacheBlocks is the capacity of the prefix cache in blocks.
	CacheBlocks int
	// Faults injects faults into requests.
	Faults *faultinjection.Injector

	mu           sync.Mutex
	slots        chan struct{}
	running      int
	waiting      int
	requests     *requestlog.Log
	cancelled    map[string]bool
	fencingToken uint64
	cache        *blockCache
	runContext   context.Context
}

// Run serves requests and announces the engine until ctx ends.
func (e *Engine) Run(ctx context.Context) error {
	e.prepare()
	e.runContext = ctx
	v := &fasthttp.Server{Handler: e.handle, CloseOnShutdown: true, NoDefaultServerHeader: true, MaxRequestBodySize: maxBodyBytes, Logger: discardLogger{}}
	a := &announcer.Announcer{
		Hosts:    e.Hosts,
		Secret:   e.Secret,
		Timer:    e.Timer,
		Upstream: e.announcement,
		Report:   e.report,
	}
	g := group.NewGroup(ctx)
	g.Go("announce", a.Run)
	g.Go("cache-events", func(ctx context.Context) error { return e.publishCacheEvents(ctx) })
	g.Go("serve", (&httpserver.Server{Server: v, Listener: e.Listener, StopTimeout: stopTimeout}).Run)
	return g.Wait()
}

// Runs returns how often each request was started, by its ID.
func (e *Engine) Runs() map[string]int {
	return e.requests.Runs()
}

// SawInHeader reports whether any received header value contained the text.
func (e *Engine) SawInHeader(text string) bool {
	return e.requests.SawInHeader(text)
}

func (e *Engine) prepare() {
	e.Upstream.Address = e.Listener.Addr().String()
	e.slots = make(chan struct{}, max(e.Upstream.Slots, 1))
	e.requests = requestlog.NewLog()
	e.cancelled = map[string]bool{}
	e.cache = newBlockCache(e.CacheBlocks)
}

func (e *Engine) announcement() upstream.Upstream {
	e.mu.Lock()
	defer e.mu.Unlock()
	u := e.Upstream
	u.Models = append([]string(nil), u.Models...)
	return u
}

func (e *Engine) report() loadreport.Report {
	e.mu.Lock()
	defer e.mu.Unlock()
	return loadreport.Report{
		Upstream:    e.Upstream.Name,
		Incarnation: e.Upstream.Incarnation,
		Running:     e.running,
		Waiting:     e.waiting,
		CacheUsed:   e.cache.usedPerMille(),
	}
}

// acquireSlot waits for a slot. Slots go to requests in order of arrival.
func (e *Engine) acquireSlot(ctx context.Context) error {
	e.add(&e.waiting, 1)
	defer e.add(&e.waiting, -1)
	select {
	case <-ctx.Done():
		return ctx.Err()
	case e.slots <- struct{}{}:
		e.add(&e.running, 1)
		return nil
	}
}

func (e *Engine) releaseSlot() {
	e.add(&e.running, -1)
	<-e.slots
}

func (e *Engine) add(n *int, by int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	*n += by
}

// stepTime returns the time between tokens at the current load.
func (e *Engine) stepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.Step + time.Duration(max(e.running-1, 0))*e.StepPerStream
}

// discardLogger drops the messages of the HTTP library about connections that injected faults broke.
type discardLogger struct{}

// Printf implements fasthttp.Logger.Printf.
func (discardLogger) Printf(string, ...any) {}
