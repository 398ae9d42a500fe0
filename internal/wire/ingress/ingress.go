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
	"siskinrun/internal/wire/accept"
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
	// Unreadable answers what is no request.
	Unreadable(x *fasthttp.RequestCtx, err error)
}

// Ingress is the HTTP server of one address for callers.
type Ingress struct {
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
	// HeaderBytes is the longest head of a request.
	HeaderBytes int
	// ReadTimeout is the longest that a caller may take to send a request.
	ReadTimeout time.Duration
	// Concurrency is the most connections served at once.
	Concurrency int
	// Drain is how long a stopping host goes on answering before it closes idle connections.
	Drain time.Duration
	// StopTimeout, if set, bounds how long a stopping host waits for calls to end.
	StopTimeout time.Duration

	accept   *accept.Listener
	draining atomic.Bool
	base     context.Context
}

// Run serves until ctx ends, and then stops without cutting a call.
func (i *Ingress) Run(ctx context.Context) error {
	w, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	i.base = w
	g := group.NewGroup(w)
	l := i.Listener
	if i.TLS != nil {
		l = tls.NewListener(l, i.TLS)
	}
	i.accept = &accept.Listener{Listener: l, Timer: i.Timer, Group: g}
	v := i.server()
	g.Go("serve", func(context.Context) error { return v.Serve(i.accept) })
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
func (i *Ingress) Draining() bool {
	return i.draining.Load()
}

// Context returns the context of all requests, which ends when no answer is passed on any more.
func (i *Ingress) Context() context.Context {
	return i.base
}

func (i *Ingress) server() *fasthttp.Server {
	return &fasthttp.Server{
		Handler:                       i.handle,
		ErrorHandler:                  i.Dialect.Unreadable,
		ReadBufferSize:                i.HeaderBytes,
		ReadTimeout:                   i.ReadTimeout,
		IdleTimeout:                   idleTimeout,
		Concurrency:                   i.Concurrency,
		StreamRequestBody:             true,
		DisablePreParseMultipartForm:  true,
		NoDefaultServerHeader:         true,
		NoDefaultContentType:          true,
		SecureErrorLogMessage:         true,
		Logger:                        quiet{i.Log},
		DisableHeaderNamesNormalizing: false,
	}
}

// drain answers for a while with the connections closing, then takes no new ones and waits until all calls have ended.
func (i *Ingress) drain(ctx context.Context) {
	i.draining.Store(true)
	if i.StopTimeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, i.StopTimeout)
		defer cancel()
	}
	_ = i.Timer.Sleep(ctx, i.Drain)
	if err := i.accept.Refuse(); err != nil {
		i.Log.Warn().Err(err).Msg("listener not closed")
	}
	_ = i.Timer.Sleep(ctx, drainPoll)
	for i.accept.Open() > 0 && ctx.Err() == nil {
		i.accept.CloseIdle(idleGrace)
		_ = i.Timer.Sleep(ctx, drainPoll)
	}
}

func (i *Ingress) handle(x *fasthttp.RequestCtx) {
	done := i.accept.Busy(x.Conn())
	if i.draining.Load() {
		x.SetConnectionClose()
	}
	x.SetUserValue(releaseKey, done)
	i.Dialect.Handle(x)
	if !x.Response.IsBodyStream() {
		done()
	}
}

// releaseKey names the function that frees the connection of a request.
const releaseKey = "ingress-release"

// quiet passes messages of the HTTP library to the log.
type quiet struct {
	log zerolog.Logger
}

// Printf implements fasthttp.Logger.Printf.
func (q quiet) Printf(format string, args ...any) {
	q.log.Debug().Msgf(format, args...)
}
