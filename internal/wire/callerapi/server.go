package callerapi

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/clientguard"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/wire/ingress"
)

const (
	pathReady   = "/-/ready"
	pathHealthy = "/-/healthy"
	pathModels  = "/v1/models"
	pathFiles   = "/v1/files"
	pathBatches = "/v1/batches"
)

// pipeline runs online calls.
type pipeline interface {
	Online(ctx context.Context, authorization string, c *call.Call) (*answer.Answer, error)
	Models() []string
}

// Server serves callers over HTTP.
type Server struct {
	// Listener accepts the connections of callers.
	Listener net.Listener
	// TLS, if set, is the TLS configuration of the connections.
	TLS *tls.Config
	// Pipeline runs online calls.
	Pipeline pipeline
	// Identifier finds the team of a credential for files and batches.
	Identifier identifier
	// Batch stores files and runs batch jobs.
	Batch batchService
	// MaxFileBytes limits the size of an uploaded file.
	MaxFileBytes int64
	// Ready reports whether the host can take calls.
	Ready func() bool
	// Timer is the clock.
	Timer *timer.Service
	// Log receives the errors of connections.
	Log zerolog.Logger
	// MaxHeaderBytes limits the size of the request line and headers.
	MaxHeaderBytes int
	// MaxBodyBytes limits the size of the body of a call.
	MaxBodyBytes int
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

	ingress *ingress.Server
}

// Run serves until ctx ends, and then drains: calls in flight finish unless StopTimeout ends first.
func (s *Server) Run(ctx context.Context) error {
	s.ingress = &ingress.Server{
		Listener:       s.Listener,
		TLS:            s.TLS,
		Dialect:        s,
		Timer:          s.Timer,
		Log:            s.Log,
		MaxHeaderBytes: s.MaxHeaderBytes,
		ReadTimeout:    s.ReadTimeout,
		Concurrency:    s.Concurrency,
		Guard:          s.Guard,
		MaxHeaderLines: s.MaxHeaderLines,
		Drain:          s.Drain,
		StopTimeout:    s.StopTimeout,
	}
	return s.ingress.Run(ctx)
}

// Handle routes a request to its handler.
func (s *Server) Handle(x *fasthttp.RequestCtx) {
	q := &request{server: s, http: x, id: newID()}
	p := string(x.Path())
	switch {
	case p == pathReady:
		q.ready()
	case p == pathHealthy:
		x.SetBodyString("healthy\n")
	case p == pathModels:
		q.models()
	case p == "/v1/chat/completions" || p == "/v1/completions":
		q.completion()
	case hasPathPrefix(p, pathFiles):
		q.authenticated(strings.TrimPrefix(p, pathFiles), q.files)
	case hasPathPrefix(p, pathBatches):
		q.authenticated(strings.TrimPrefix(p, pathBatches), q.batches)
	default:
		q.service()
	}
}

// HandleReadError answers a request that could not be read.
func (s *Server) HandleReadError(x *fasthttp.RequestCtx, err error) {
	q := &request{server: s, http: x, id: newID()}
	x.SetConnectionClose()
	q.Refuse(ingress.ReadError(err))
}

func hasPathPrefix(path, prefix string) bool {
	r, ok := strings.CutPrefix(path, prefix)
	return ok && (r == "" || r[0] == '/')
}
