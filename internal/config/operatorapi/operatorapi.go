package operatorapi

import (
	"context"
	"crypto/tls"
	"encoding/json"
	"net"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/httpserver"
	"siskinrun/internal/base/secret"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/change"
	"siskinrun/internal/config/difference"
	"siskinrun/internal/config/hoststatus"
	"siskinrun/internal/config/revision"
	"siskinrun/internal/data/configuration"
	"siskinrun/pkg/refusal"
)

const (
	maxBodyBytes   = 8 << 20
	maxHeaderBytes = 16 << 10
	maxConnections = 256
	readTimeout    = 30 * time.Second
	idleTimeout    = time.Minute
	stopTimeout    = 5 * time.Second
	requestTimeout = 20 * time.Second
	bearerPrefix   = "Bearer "
	metricsPath    = "/metrics"

	// VerdictHeader names the header that tells whether a refused request may have run.
	VerdictHeader = "siskin-verdict"
)

var unauthenticated = refusal.NewNotRun(401, "unknown-operator", "send the operators' secret as Authorization: Bearer")

// Server serves the operators' API of one host.
type Server struct {
	// Name is the name of this host.
	Name string
	// Listener accepts the connections of operators.
	Listener net.Listener
	// TLS, if set, secures the connections.
	TLS *tls.Config
	// Secret is the shared secret of the operators; if it is empty, requests need none.
	Secret secret.Secret
	// Configuration provides the configuration in force, its history and the status of hosts.
	Configuration configService
	// Check, if set, refuses changes that this host may not propose.
	Check func(ctx context.Context, c *change.Change) error
	// Client proposes changes.
	Client proposer
	// Timer is the clock.
	Timer *timer.Service
	// Log receives one line for each change.
	Log zerolog.Logger
	// Metrics counts the requests.
	Metrics metrics.Registry
	// MetricsText, if set, returns the metrics of the host as text, which are served without a secret.
	MetricsText func() []byte

	handlers map[string]Handler
}

// Handler answers one request with a JSON body.
type Handler func(ctx context.Context, r *Request) ([]byte, error)

// Request is one request of an operator.
type Request struct {
	// Method is the HTTP method.
	Method string
	// Path is the path without the query.
	Path string
	// Query returns a query parameter, or the empty string.
	Query func(name string) string
	// Body is the request's body.
	Body []byte
}

type configService interface {
	View() *configuration.Configuration
	Fresh() bool
	Await(ctx context.Context, version uint64) error
	Versions(ctx context.Context, limit int) ([]revision.Revision, error)
	Diff(ctx context.Context, from, to uint64) ([]difference.Difference, error)
	Hosts(ctx context.Context) []hoststatus.Status
}

type proposer interface {
	Propose(ctx context.Context, group uint32, command []byte) ([]byte, error)
}

// errorBody is the body of a refusal.
type errorBody struct {
	Error errorDetail `json:"error"`
}

type errorDetail struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Verdict string `json:"verdict"`
}

// Handle adds an endpoint and must be called before Run.
func (s *Server) Handle(method, path string, h Handler) {
	if s.handlers == nil {
		s.handlers = map[string]Handler{}
	}
	s.handlers[method+" "+path] = h
}

// Run serves until ctx ends.
func (s *Server) Run(ctx context.Context) error {
	s.addEndpoints()
	if s.Metrics == nil {
		s.Metrics = metrics.NewRegistry()
	}
	l := s.Listener
	if s.TLS != nil {
		l = tls.NewListener(l, s.TLS)
	}
	w := &httpserver.Server{Server: s.server(ctx), Listener: l, StopTimeout: stopTimeout}
	return w.Run(ctx)
}

func (s *Server) server(ctx context.Context) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               func(c *fasthttp.RequestCtx) { s.serve(ctx, c) },
		ErrorHandler:          s.handleReadError,
		HeaderReceived:        s.requestConfig,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		Concurrency:           maxConnections,
		ReadTimeout:           readTimeout,
		WriteTimeout:          readTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger:                discardLogger{},
	}
}

func (s *Server) serve(ctx context.Context, c *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	metrics.GetOrRegisterCounter("operator-requests", s.Metrics).Inc(1)
	if s.MetricsText != nil && c.IsGet() && string(c.Path()) == metricsPath {
		c.SetBody(s.MetricsText())
		return
	}
	b, err := s.dispatch(ctx, c)
	c.SetContentType("application/json")
	var e *statusError
	switch {
	case err == nil:
		c.SetBody(b)
	case errors.As(err, &e):
		c.SetStatusCode(e.status)
		c.SetBody(e.body)
	default:
		writeRefusal(c, refusal.Of(err))
	}
}

func (s *Server) dispatch(ctx context.Context, c *fasthttp.RequestCtx) ([]byte, error) {
	if !s.authenticated(c.Request.Header.Peek(fasthttp.HeaderAuthorization)) {
		return nil, unauthenticated
	}
	h := s.handlers[string(c.Method())+" "+string(c.Path())]
	if h == nil {
		return nil, refusal.NewNotRun(404, "unknown-path", "no endpoint has this method and path")
	}
	return h(ctx, &Request{
		Method: string(c.Method()),
		Path:   string(c.Path()),
		Query:  func(n string) string { return string(c.QueryArgs().Peek(n)) },
		Body:   c.PostBody(),
	})
}

func (s *Server) authenticated(authorization []byte) bool {
	if len(s.Secret) == 0 {
		return true // the settings configure no secret: the network is trusted
	}
	if len(authorization) < len(bearerPrefix) || string(authorization[:len(bearerPrefix)]) != bearerPrefix {
		return false
	}
	return s.Secret.Equal(authorization[len(bearerPrefix):])
}

// statusError is a response whose status is not 200 although it is not a refusal.
type statusError struct {
	status int
	body   []byte
}

// Error implements error.Error.
func (s *statusError) Error() string {
	return "status " + strconv.Itoa(s.status)
}

func writeRefusal(c *fasthttp.RequestCtx, r *refusal.Refusal) {
	c.SetStatusCode(r.Status)
	c.Response.Header.Set(VerdictHeader, r.Verdict.String())
	if r.RetryAfter > 0 {
		s := (r.RetryAfter + time.Second - 1) / time.Second
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(s), 10))
	}
	b, err := json.Marshal(errorBody{errorDetail{r.Code, r.Message, r.Verdict.String()}})
	if err != nil {
		b = nil
	}
	c.SetBody(b)
}

// discardLogger drops what the HTTP server would log about bad connections.
type discardLogger struct{}

// Printf implements fasthttp.Logger.Printf.
func (discardLogger) Printf(string, ...any) {}
