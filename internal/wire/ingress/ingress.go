package ingress

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/clientguard"
	"siskinrun/internal/base/group"
	"siskinrun/internal/base/headgrammar"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/wire/listener"
)

const (
	idleTimeout = 2 * time.Minute
	// idleGrace is how long a connection must be idle before a stopping host closes it.
	idleGrace = 300 * time.Millisecond
	// requestGrace is how long a caller may stall inside a request before a stopping host closes its connection.
	requestGrace      = 2 * time.Second
	drainPollInterval = 50 * time.Millisecond
)

// dialect handles requests in one wire format.
type dialect interface {
	// Handle serves a request.
	Handle(x *fasthttp.RequestCtx)
	// HandleReadError answers a request that could not be read.
	HandleReadError(x *fasthttp.RequestCtx, err error)
}

// Server is the HTTP server for callers on one address.
type Server struct {
	// Listener accepts the connections of callers.
	Listener net.Listener
	// TLS, if set, is the TLS configuration of the connections.
	TLS *tls.Config
	// Dialect handles the requests.
	Dialect dialect
	// Timer is the clock.
	Timer *timer.Service
	// Log receives the errors of connections.
	Log zerolog.Logger
	// MaxHeaderBytes limits the size of the request line and headers.
	MaxHeaderBytes int
	// ReadTimeout is the longest time that a caller may take to send a request.
	ReadTimeout time.Duration
	// Concurrency limits the connections served at once.
	Concurrency int
	// Guard, if set, is the account of what the callers hold.
	Guard *clientguard.Guard
	// MaxHeaderLines bounds the lines of a header section, zero for no bound.
	MaxHeaderLines int
	// Drain is how long a stopping host still accepts connections before it refuses new ones and closes idle ones.
	Drain time.Duration
	// StopTimeout, if set, bounds how long a stopping host waits for calls to end.
	StopTimeout time.Duration

	tracked  *listener.Listener
	draining atomic.Bool
	base     context.Context
}

// Run serves until ctx ends, and then drains: calls in flight finish unless StopTimeout ends first.
func (s *Server) Run(ctx context.Context) error {
	w, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	s.base = w
	g := group.NewGroup(w)
	l := s.Listener
	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}
	s.tracked = &listener.Listener{
		Listener: l, Timer: s.Timer, Group: g,
		Guard: s.Guard, ConnBytes: int64(s.MaxHeaderBytes) + connBytes, MaxHeaderLines: s.MaxHeaderLines,
	}
	v := s.server()
	g.Go("serve", func(context.Context) error { return v.Serve(s.tracked) })
	g.Go("drain", func(w context.Context) error {
		select {
		case <-ctx.Done():
		case <-w.Done():
			return w.Err()
		}
		s.drain(w)
		err := v.Shutdown()
		_ = l.Close()
		return err
	})
	return g.Wait()
}

// Draining reports whether the host is stopping.
func (s *Server) Draining() bool {
	return s.draining.Load()
}

// Context returns the base context of all requests, which ends when the server has stopped.
func (s *Server) Context() context.Context {
	return s.base
}

func (s *Server) server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                       s.handle,
		ErrorHandler:                  s.Dialect.HandleReadError,
		ReadBufferSize:                s.MaxHeaderBytes,
		ReadTimeout:                   s.ReadTimeout,
		IdleTimeout:                   idleTimeout,
		Concurrency:                   s.Concurrency,
		StreamRequestBody:             true,
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		SecureErrorLogMessage:         true,
		Logger:                        debugLogger{s.Log},
		DisableHeaderNamesNormalizing: false,
	}
}

// drain serves on for a while, closing each connection after its answer. It then refuses new connections and waits
// until all calls have ended.
func (s *Server) drain(ctx context.Context) {
	s.draining.Store(true)
	if s.StopTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, s.StopTimeout)
		defer cancel()
	}
	_ = s.Timer.Sleep(ctx, s.Drain)
	if err := s.tracked.StopAccepting(); err != nil {
		s.Log.Warn().Err(err).Msg("closing the listener failed")
	}
	_ = s.Timer.Sleep(ctx, drainPollInterval)
	for s.tracked.OpenConns() > 0 && ctx.Err() == nil {
		s.tracked.CloseIdle(idleGrace, requestGrace)
		_ = s.Timer.Sleep(ctx, drainPollInterval)
	}
	if n := s.tracked.CloseAll(); n > 0 {
		s.Log.Warn().Int("connections", n).Msg("calls cut at the end of a stop")
	}
}

func (s *Server) handle(x *fasthttp.RequestCtx) {
	done := s.tracked.MarkBusy(x.Conn())
	if s.draining.Load() {
		x.SetConnectionClose()
	}
	x.SetUserValue(markIdleKey, done)
	s.checkHeader(x)
	if x.RequestBodyStream() != nil && x.Request.Header.ContentLength() != 0 && !arrived(x) {
		x.SetConnectionClose() // the rest of the body is not read, which would count as header lines
	}
	switch {
	case x.Response.IsBodyStream():
	case len(x.Response.Body()) > largeResponse:
		holdResponse(x, done)
	default:
		done()
	}
}

// checkHeader hands a request to the dialect unless its header section has too many lines or a malformed name. The listener counts
// the lines of a section that it sees begin; this one may have come behind a body.
func (s *Server) checkHeader(x *fasthttp.RequestCtx) {
	h := &x.Request.Header
	if n := len(h.RawHeaders()); s.Guard.Bounded() && n > s.MaxHeaderBytes/largeHeaderShare {
		x.SetConnectionClose()
		if s.MaxHeaderLines > 0 && h.Len() > s.MaxHeaderLines {
			s.Guard.Count("clients-rejected-lines")
			s.Dialect.HandleReadError(x, listener.ErrTooManyLines)
			return
		}
	}
	if !hasNames(h) {
		s.Dialect.HandleReadError(x, errMalformedName)
		return
	}
	if x.RequestBodyStream() == nil {
		Complete(x)
	}
	s.Dialect.Handle(x)
}

// errMalformedName is the fault of a request in which the name of a header is no token.
var errMalformedName = errors.New("the name of a header is malformed")

// hasNames reports whether the names of all headers are tokens. The HTTP library lets blanks inside them pass.
func hasNames(h *fasthttp.RequestHeader) bool {
	for name := range h.All() {
		if !headgrammar.IsName(name) {
			return false
		}
	}
	return true
}

// markIdleKey is the user value with the function that marks the connection of a request as idle.
const markIdleKey = "ingress-release"

// debugLogger logs the messages of the HTTP library at debug level.
type debugLogger struct {
	log zerolog.Logger
}

// Printf implements fasthttp.Logger.Printf.
func (l debugLogger) Printf(format string, args ...any) {
	l.log.Debug().Msgf(format, args...)
}
