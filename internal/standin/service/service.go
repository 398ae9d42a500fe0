package service

import (
	"context"
	"encoding/json"
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

const (
	requestID   = "Siskin-Request-Id"
	stopTimeout = 5 * time.Second
	lateness    = 2 * time.Second
)

// Service is a stand-in for a plain service.
type Service struct {
	// Upstream is what the service announces; its address is taken from the listener.
	Upstream upstream.Upstream
	// Listener takes requests.
	Listener net.Listener
	// Hosts are the addresses that take announcements.
	Hosts []string
	// Secret proves that the announcer belongs to the fleet.
	Secret string
	// Timer tells the time.
	Timer *timer.Service
	// Work is how long a request takes.
	Work time.Duration
	// Fault holds the misbehaviour to come.
	Fault *fault.Fault

	mu      sync.Mutex
	running int
	visits  *visits.Visits
}

// Run serves and announces until ctx ends.
func (s *Service) Run(ctx context.Context) error {
	s.visits = visits.NewVisits()
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
	g.Go("serve", (&web.Web{Server: v, Listener: s.Listener, StopTimeout: stopTimeout}).Run)
	return g.Wait()
}

// Runs returns how often each request was begun, by its ID.
func (s *Service) Runs() map[string]int {
	return s.visits.Runs()
}

// Saw reports whether a text was ever received within a header value.
func (s *Service) Saw(text string) bool {
	return s.visits.Saw(text)
}

func (s *Service) report() report.Report {
	s.mu.Lock()
	defer s.mu.Unlock()
	return report.Report{
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
		s.visits.SetFault(c, s.Fault)
		return
	}
	s.answer(c)
}

func (s *Service) answer(c *fasthttp.RequestCtx) {
	id := string(c.Request.Header.Peek(requestID))
	s.begin(c)
	defer s.end()
	_ = s.Timer.Sleep(c, s.Work)
	if s.Fault.Take(fault.Late) {
		_ = s.Timer.Sleep(c, lateness)
	}
	if s.Fault.Take(fault.Crossed) {
		id = "crossed-" + id
	}
	if s.Fault.Take(fault.Die) {
		_ = c.Conn().Close()
		return
	}
	c.Response.Header.Set(requestID, id)
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
	s.visits.Note(c, true)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running++
}

func (s *Service) end() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.running--
}
