package caller

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"time"

	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

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

// server runs the filters of an online call.
type server interface {
	Online(ctx context.Context, authorization string, c *call.Call) (*answer.Answer, error)
	Models() []string
}

// Caller serves callers over HTTP.
type Caller struct {
	// Listener takes the connections of callers.
	Listener net.Listener
	// TLS, if set, secures the connections.
	TLS *tls.Config
	// Pipe runs online calls.
	Pipe server
	// Identify finds the team of a credential for files and batches.
	Identify identifier
	// Batch keeps files and batch jobs.
	Batch batcher
	// FileBytes is the longest file.
	FileBytes int64
	// Ready reports whether the host can take calls.
	Ready func() bool
	// Timer tells the time.
	Timer *timer.Service
	// Log takes errors of connections.
	Log zerolog.Logger
	// HeaderBytes is the longest head of a request.
	HeaderBytes int
	// BodyBytes is the longest body of a call.
	BodyBytes int
	// ReadTimeout is the longest that a caller may take to send a request.
	ReadTimeout time.Duration
	// Concurrency is the most connections served at once.
	Concurrency int
	// Drain is how long a stopping host goes on answering before it closes idle connections.
	Drain time.Duration

	// StopTimeout, if set, bounds how long a stopping host waits for calls to end.
	StopTimeout time.Duration

	ingress *ingress.Ingress
}

// Run serves until ctx ends, and then stops without cutting a call.
func (c *Caller) Run(ctx context.Context) error {
	c.ingress = &ingress.Ingress{
		Listener:    c.Listener,
		TLS:         c.TLS,
		Dialect:     c,
		Timer:       c.Timer,
		Log:         c.Log,
		HeaderBytes: c.HeaderBytes,
		ReadTimeout: c.ReadTimeout,
		Concurrency: c.Concurrency,
		Drain:       c.Drain,
		StopTimeout: c.StopTimeout,
	}
	return c.ingress.Run(ctx)
}

// Handle answers a request.
func (c *Caller) Handle(x *fasthttp.RequestCtx) {
	q := &request{caller: c, http: x, id: newID()}
	p := string(x.Path())
	switch {
	case p == pathReady:
		q.ready()
	case p == pathHealthy:
		x.SetBodyString("healthy\n")
	case p == pathModels:
		q.models()
	case p == "/v1/chat/completions" || p == "/v1/completions":
		q.complete()
	case under(p, pathFiles):
		q.keyed(strings.TrimPrefix(p, pathFiles), q.files)
	case under(p, pathBatches):
		q.keyed(strings.TrimPrefix(p, pathBatches), q.batches)
	default:
		q.plain()
	}
}

// Unreadable answers a request that could not be read.
func (c *Caller) Unreadable(x *fasthttp.RequestCtx, err error) {
	q := &request{caller: c, http: x, id: newID()}
	x.SetConnectionClose()
	q.Refuse(ingress.Unreadable(err))
}

func under(path, prefix string) bool {
	r, ok := strings.CutPrefix(path, prefix)
	return ok && (r == "" || r[0] == '/')
}
