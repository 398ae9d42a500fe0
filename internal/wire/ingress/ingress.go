package ingress

import (
	"context"
	"crypto/tls"
	"net"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/wire/listener"
)

const (
	idleTimeout = 2 * time.Minute
	// idleGrace is how long a connection of a stopping host is without a call before it closes.
	idleGrace = 300 * time.Millisecond
	drainPoll = 50 * time.Millisecond
)

// dialect answers requests in one wire format.
type dialect interface {
	// Handle answers a request.
	Handle(x *fasthttp.RequestCtx)
	// HandleReadError answers what is no request.
	HandleReadError(x *fasthttp.RequestCtx, err error)
}

// Server is the HTTP server of one address for callers.
type Server struct {
	// Listener takes the connections of callers.
	Listener net.Listener
	// TLS, if set, secures the connections.
	TLS *tls.Config
	// Dialect answers the requests.
	Dialect dialect
	// Timer tells the time.
	Timer *timer.Service
	// Log takes errors of connections.
	Log zerolog.Logger
	// MaxHeaderBytes is the longest head of a request.
	MaxHeaderBytes int
	// ReadTimeout is the longest that a caller may take to send a request.
	ReadTimeout time.Duration
	// Concurrency is the most connections served at once.
	Concurrency int
	// Drain is how long a stopping host goes on answering before it closes idle connections.
	Drain time.Duration
	// StopTimeout, if set, bounds how long a stopping host waits for calls to end.
	StopTimeout time.Duration

	tracked  *listener.Listener
	draining atomic.Bool
	base     context.Context
}

// Run serves until ctx ends, and then stops without cutting a call.
func (i *Server) Run(ctx context.Context) error {
	w, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	i.base = w
	g := group.NewGroup(w)
	l := i.Listener
	if i.TLS != nil {
		l = tls.NewListener(l, i.TLS)
	}
	i.tracked = &listener.Listener{Listener: l, Timer: i.Timer, Group: g}
	v := i.server()
	g.Go("serve", func(context.Context) error { return v.Serve(i.tracked) })
	g.Go("drain", func(w context.Context) error {
		select {
		case <-ctx.Done():
		case <-w.Done():
			return w.Err()
		}
		i.drain(w)
		err := v.Shutdown()
		_ = l.Close()
		return err
	})
	return g.Wait()
}

// Draining reports whether the host is stopping.
func (i *Server) Draining() bool {
	return i.draining.Load()
}

// Context returns the context of all requests, which ends when no answer is passed on any more.
func (i *Server) Context() context.Context {
	return i.base
}

func (i *Server) server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                       i.handle,
		ErrorHandler:                  i.Dialect.HandleReadError,
		ReadBufferSize:                i.MaxHeaderBytes,
		ReadTimeout:                   i.ReadTimeout,
		IdleTimeout:                   idleTimeout,
		Concurrency:                   i.Concurrency,
		StreamRequestBody:             true,
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		SecureErrorLogMessage:         true,
		Logger:                        debugLogger{i.Log},
		DisableHeaderNamesNormalizing: false,
	}
}

// drain answers for a while with the connections closing, then takes no new ones and waits until all calls have ended.
func (i *Server) drain(ctx context.Context) {
	i.draining.Store(true)
	if i.StopTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, i.StopTimeout)
		defer cancel()
	}
	_ = i.Timer.Sleep(ctx, i.Drain)
	if err := i.tracked.StopAccepting(); err != nil {
		i.Log.Warn().Err(err).Msg("listener not closed")
	}
	_ = i.Timer.Sleep(ctx, drainPoll)
	for i.tracked.OpenConns() > 0 && ctx.Err() == nil {
		i.tracked.CloseIdle(idleGrace)
		_ = i.Timer.Sleep(ctx, drainPoll)
	}
}

func (i *Server) handle(x *fasthttp.RequestCtx) {
	done := i.tracked.MarkBusy(x.Conn())
	if i.draining.Load() {
		x.SetConnectionClose()
	}
	x.SetUserValue(markIdleKey, done)
	i.Dialect.Handle(x)
	if !x.Response.IsBodyStream() {
		done()
	}
}

// markIdleKey names the function that frees the connection of a request.
const markIdleKey = "ingress-release"

// debugLogger passes messages of the HTTP library to the log.
type debugLogger struct {
	log zerolog.Logger
}

// Printf implements fasthttp.Logger.Printf.
func (q debugLogger) Printf(format string, args ...any) {
	q.log.Debug().Msgf(format, args...)
}
