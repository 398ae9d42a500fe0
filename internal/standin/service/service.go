package service

import (
	"context"
	"encoding/json"
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

const (
	requestIDHeader = "Siskin-Request-Id"
	stopTimeout     = 5 * time.Second
	lateDelay       = 2 * time.Second
)

// Service is a simulated plain service.
type Service struct {
	// Upstream is what the service announces; its address is taken from the listener.
	Upstream upstream.Upstream
	// Listener accepts requests.
	Listener net.Listener
	// Hosts are the host addresses for announcements.
	Hosts []string
	// Secret authenticates the announcements.
	Secret string
	// Timer provides the time.
	Timer *timer.Service
	// ProcessingTime is the time to process a request.
	ProcessingTime time.Duration
	// Faults injects faults into requests.
	Faults *faultinjection.Injector

	mu       sync.Mutex
	running  int
	requests *requestlog.Log
}

// Run serves requests and announces the service until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	s.requests = requestlog.NewLog()
	s.Upstream.Address = s.Listener.Addr().String()
	v := &fasthttp.Server{Handler: s.handle, CloseOnShutdown: true, NoDefaultServerHeader: true}
	a := &announcer.Announcer{
		Hosts:    s.Hosts,
		Secret:   s.Secret,
		Timer:    s.Timer,
		Upstream: func() upstream.Upstream { return s.Upstream },
		Report:   s.report,
	}
	g := group.NewGroup(ctx)
	g.Go("announce", a.Run)
	g.Go("serve", (&httpserver.Server{Server: v, Listener: s.Listener, StopTimeout: stopTimeout}).Run)
	return g.Wait()
}

// Runs returns how often each request was started, by its ID.
func (s *Service) Runs() map[string]int {
	return s.requests.Runs()
}

// SawInHeader reports whether any received header value contained the text.
func (s *Service) SawInHeader(text string) bool {
	return s.requests.SawInHeader(text)
}

func (s *Service) report() loadreport.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return loadreport.Report{
		Upstream:    s.Upstream.Name,
		Incarnation: s.Upstream.Incarnation,
		Running:     s.running,
	}
}

func (s *Service) handle(c *fasthttp.RequestCtx) {
	switch string(c.Path()) {
	case "/stand-in/runs":
		c.SetContentType("application/json")
		_ = json.NewEncoder(c).Encode(s.Runs())
		return
	case "/stand-in/fault":
		s.requests.HandleFault(c, s.Faults)
		return
	}
	s.handleRequest(c)
}

func (s *Service) handleRequest(c *fasthttp.RequestCtx) {
	id := string(c.Request.Header.Peek(requestIDHeader))
	s.begin(c)
	defer s.end()
	_ = s.Timer.Sleep(c, s.ProcessingTime)
	if s.Faults.Take(faultinjection.Late) {
		_ = s.Timer.Sleep(c, lateDelay)
	}
	if s.Faults.Take(faultinjection.Crossed) {
		id = "crossed-" + id
	}
	if s.Faults.Take(faultinjection.Die) {
		_ = c.Conn().Close()
		return
	}
	c.Response.Header.Set(requestIDHeader, id)
	c.SetContentType("application/json")
	b, _ := json.Marshal(map[string]string{
		"service": s.Upstream.Service,
		"method":  string(c.Method()),
		"path":    string(c.Path()),
		"echo":    string(c.Request.Body()),
	})
	c.SetBody(b)
}

func (s *Service) begin(c *fasthttp.RequestCtx) {
	s.requests.Record(c, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
