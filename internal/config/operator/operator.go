package operator

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

	"siskinrun/internal/base/secret"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/base/web"
	"siskinrun/internal/config/difference"
	"siskinrun/internal/config/revision"
	"siskinrun/internal/config/status"
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
	answerTimeout  = 20 * time.Second
	bearer         = "Bearer "
	pathFigures    = "/metrics"

	// VerdictHeader carries the verdict of a refusal.
	VerdictHeader = "siskin-verdict"
)

var unknownOperator = refusal.NewNotRun(401, "unknown-operator", "show the operators' secret as Authorization: Bearer")

// Operator serves the operators' address of one host.
type Operator struct {
	// Name is the name of this host.
	Name string
	// Listener accepts the connections of operators.
	Listener net.Listener
	// TLS, if set, secures the connections.
	TLS *tls.Config
	// Secret is what operators show.
	Secret secret.Secret
	// Spread tells the configuration in force and its history.
	Spread spread
	// Client proposes changes.
	Client proposer
	// Timer tells the time.
	Timer *timer.Service
	// Log takes one line a change.
	Log zerolog.Logger
	// Metrics takes the number of requests.
	Metrics metrics.Registry
	// Figures, if set, returns the metrics of the host as text, which are shown without a secret.
	Figures func() []byte

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
	// Query returns a parameter of the query, or nothing.
	Query func(name string) string
	// Body is the request's body.
	Body []byte
}

type spread interface {
	View() *configuration.Configuration
	Fresh() bool
	Await(ctx context.Context, version uint64) error
	Versions(ctx context.Context, most int) ([]revision.Revision, error)
	Diff(ctx context.Context, from, to uint64) ([]difference.Difference, error)
	Hosts(ctx context.Context) []status.Status
}

type proposer interface {
	Propose(ctx context.Context, group uint32, command []byte) ([]byte, error)
}

// refused is the body of a refusal.
type refused struct {
	Error refusedError `json:"error"`
}

type refusedError struct {
	Code    string `json:"code"`
	Message string `json:"message"`
	Verdict string `json:"verdict"`
}

// Handle adds an endpoint and must be called before Run.
func (o *Operator) Handle(method, path string, h Handler) {
	if o.handlers == nil {
		o.handlers = map[string]Handler{}
	}
	o.handlers[method+" "+path] = h
}

// Run serves until ctx ends.
func (o *Operator) Run(ctx context.Context) error {
	o.addOwn()
	if o.Metrics == nil {
		o.Metrics = metrics.NewRegistry()
	}
	l := o.Listener
	if o.TLS != nil {
		l = tls.NewListener(l, o.TLS)
	}
	w := &web.Web{Server: o.server(ctx), Listener: l, StopTimeout: stopTimeout}
	return w.Run(ctx)
}

func (o *Operator) server(ctx context.Context) *fasthttp.Server {
	return &fasthttp.Server{
		Handler:               func(c *fasthttp.RequestCtx) { o.serve(ctx, c) },
		ErrorHandler:          o.unreadable,
		HeaderReceived:        o.limit,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		Concurrency:           maxConnections,
		ReadTimeout:           readTimeout,
		WriteTimeout:          readTimeout,
		IdleTimeout:           idleTimeout,
		CloseOnShutdown:       true,
		NoDefaultServerHeader: true,
		Logger:                silent{},
	}
}

func (o *Operator) serve(ctx context.Context, c *fasthttp.RequestCtx) {
	ctx, cancel := context.WithTimeout(ctx, answerTimeout)
	defer cancel()
	metrics.GetOrRegisterCounter("operator-requests", o.Metrics).Inc(1)
	if o.Figures != nil && c.IsGet() && string(c.Path()) == pathFigures {
		c.SetBody(o.Figures())
		return
	}
	b, err := o.answer(ctx, c)
	c.SetContentType("application/json")
	var s *stated
	switch {
	case err == nil:
		c.SetBody(b)
	case errors.As(err, &s):
		c.SetStatusCode(s.status)
		c.SetBody(s.body)
	default:
		refuse(c, refusal.Of(err))
	}
}

func (o *Operator) answer(ctx context.Context, c *fasthttp.RequestCtx) ([]byte, error) {
	if !o.known(c.Request.Header.Peek(fasthttp.HeaderAuthorization)) {
		return nil, unknownOperator
	}
	h := o.handlers[string(c.Method())+" "+string(c.Path())]
	if h == nil {
		return nil, refusal.NewNotRun(404, "unknown-path", "there is no such endpoint")
	}
	return h(ctx, &Request{
		Method: string(c.Method()),
		Path:   string(c.Path()),
		Query:  func(n string) string { return string(c.QueryArgs().Peek(n)) },
		Body:   c.PostBody(),
	})
}

func (o *Operator) known(authorization []byte) bool {
	if len(o.Secret) == 0 {
		return true // the settings trust the network
	}
	if len(authorization) < len(bearer) || string(authorization[:len(bearer)]) != bearer {
		return false
	}
	return o.Secret.Equal(authorization[len(bearer):])
}

// stated is an answer whose status is not 200 although it is no refusal.
type stated struct {
	status int
	body   []byte
}

// Error implements error.Error.
func (s *stated) Error() string {
	return "status " + strconv.Itoa(s.status)
}

func refuse(c *fasthttp.RequestCtx, r *refusal.Refusal) {
	c.SetStatusCode(r.Status)
	c.Response.Header.Set(VerdictHeader, r.Verdict.String())
	if r.RetryAfter > 0 {
		s := (r.RetryAfter + time.Second - 1) / time.Second
		c.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(int64(s), 10))
	}
	b, err := json.Marshal(refused{refusedError{r.Code, r.Message, r.Verdict.String()}})
	if err != nil {
		b = nil
	}
	c.SetBody(b)
}

// silent drops what the server would print of bad connections.
type silent struct{}

// Printf implements fasthttp.Logger.Printf.
func (silent) Printf(string, ...any) {}
