package transport

import (
	"context"
	"crypto/tls"
	"io"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rcrowley/go-metrics"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/answerheaders"
	"siskinrun/internal/data/answerproof"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/data/upstreamlimit"
	"siskinrun/pkg/refusal"
)

const (
	// defaultConnectTimeout applies if no ConnectTimeout is set.
	defaultConnectTimeout = time.Second
	// maxIdleConns is the maximum number of idle connections to one address.
	maxIdleConns = 64
	// readBufferSize also bounds the size of the response headers, which must fit in the buffer.
	readBufferSize = 16 << 10
	// idleCheckInterval is how often it is looked for idle connections that may not be used any more.
	idleCheckInterval = time.Second
	// idleTTLDivisor divides the time for which an upstream keeps an idle connection, so that it is
	// rarely reused just as the upstream closes it.
	idleTTLDivisor = 2
	// provenTime is how long after its last response a connection counts as proved usable. Idle timeouts are stated in whole seconds.
	provenTime = 200 * time.Millisecond
	// distrustTime is how long calls that may not be repeated use no idle connection to an upstream that closed one early.
	distrustTime = 10 * time.Minute
	// maxDrainBytes is the longest body of a refusal that is read so that its connection can be reused.
	maxDrainBytes = 4 << 10
)

// Transport sends calls to upstreams over HTTP/1.1, one at a time on each connection.
type Transport struct {
	// Timer is the clock.
	Timer *timer.Service
	// TLS, if set, is the TLS configuration of the connections.
	TLS *tls.Config
	// IdleTimeout is the longest time that an idle connection is kept.
	IdleTimeout time.Duration
	// MaxIdle bounds the idle connections to all addresses, zero for no bound.
	MaxIdle int
	// Dialect writes and reads message headers, nil for the default dialect.
	Dialect dialect
	// Report, if set, receives the loads that upstreams report with their answers.
	Report func(r loadreport.Report, at time.Time)
	// Leaving, if set, is told of upstreams that say with an answer that they leave, before the answer is returned.
	Leaving func(upstream string, incarnation uint64)
	// RateLimit, if set, is told what each answer says of the rate limit of its upstream.
	RateLimit func(l upstreamlimit.Limit)
	// ConnectTimeout limits the time to connect, TLS handshake included; zero means defaultConnectTimeout.
	ConnectTimeout time.Duration
	// BodyReadTimeout is the longest wait for the next bytes of a response body, and for the headers of a streamed batch item.
	BodyReadTimeout time.Duration
	// Gate, if set, tells which upstreams may get work. It is asked once more right before a call is sent, which may have waited
	// for a permit or a connection since its upstream was chosen.
	Gate gate
	// Connector opens connections, nil for the dialer of the standard library.
	Connector connector
	// Log receives a line for each answer whose head or trailer is malformed.
	Log zerolog.Logger

	// Opened and Reused, if set, count the connections that are opened, and the calls that are sent on one that was used before.
	Opened, Reused metrics.Counter
	// ReuseProven lets calls that may not be repeated use an idle connection that has just proved usable.
	ReuseProven bool

	mu   sync.Mutex
	idle map[string][]*conn
	// kept is for how long the connection that became idle last may be used, zero if there was none.
	kept time.Duration
	// closedEarly is when an upstream last closed an idle connection that it should have kept, by address.
	closedEarly map[string]time.Time
	// running are the connections with a call, by address.
	running map[string]map[*conn]bool
}

// gate tells which upstreams may get work.
type gate interface {
	Open(u upstream.Upstream) bool
}

// connector opens connections to upstreams, some of them through another host, the gateway.
type connector interface {
	Sound(upstream string) bool
	Connect(ctx context.Context, u upstream.Upstream) (c net.Conn, gateway string, err error)
}

// Do sends c to the address and returns its answer with an unread body; the error is a refusal whose verdict says
// whether the call may have run.
func (e *Transport) Do(ctx context.Context, address string, c *call.Call) (*answer.Answer, error) {
	if k := e.reusableConn(address, c); k != nil {
		a, unused, err := e.send(ctx, k, c)
		if !unused || c.RouteConfig.Repeatable || ctx.Err() != nil {
			return a, err
		}
	}
	k, err := e.newConn(ctx, address, c)
	if err != nil {
		return nil, unreachable(err)
	}
	a, _, err := e.send(ctx, k, c)
	return a, err
}

// send sends c on a connection and returns its answer; unused says that the connection failed before a byte of the call was sent.
func (e *Transport) send(ctx context.Context, k *conn, c *call.Call) (a *answer.Answer, unused bool, err error) {
	if e.Gate != nil && c.Upstream.Name != "" && !e.Gate.Open(c.Upstream) {
		k.close()
		return nil, false, refusal.UpstreamEvacuated.WithJitter()
	}
	k.stopAbort = context.AfterFunc(ctx, k.abort)
	e.started(k, c)
	reused := k.reused // another call may have the connection once the answer was read
	a, err = e.roundTrip(k, c)
	var f *refusal.Refusal
	if errors.As(err, &f) {
		return nil, false, f
	}
	if err != nil {
		k.close()
		if reused && ctx.Err() == nil && !isTimeout(err) {
			e.distrust(k.address)
		}
		return nil, k.sent.Load() == 0, k.toRefusal(ctx, err)
	}
	return a, false, nil
}

// Close closes the idle connections.
func (e *Transport) Close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, l := range e.idle {
		for _, k := range l {
			k.close()
		}
	}
	e.idle = nil
}

// roundTrip sends a call on a connection and returns its answer with an unread body.
func (e *Transport) roundTrip(k *conn, c *call.Call) (*answer.Answer, error) {
	sent := e.Timer.Now()
	if err := e.write(k, c); err != nil {
		return nil, err
	}
	p := fasthttp.AcquireResponse()
	r, err := e.readHeaders(k, c, p)
	if err != nil {
		fasthttp.ReleaseResponse(p)
		return nil, err
	}
	e.report(c, r)
	e.reportLimit(c, r, sent)
	a := e.answer(k, c, p)
	if r.NotRun {
		return nil, e.refuseNotRun(k, a, r)
	}
	return a, nil
}

// write writes a call to a connection.
func (e *Transport) write(k *conn, c *call.Call) error {
	k.anonymous = c.ID == ""
	k.begin(c.ID)
	c.Record.ConnReused = k.reused
	c.Record.AnswerProof, c.Record.AnswerNamed = answerproof.None, false
	_ = k.SetDeadline(e.Timer.Deadline(e.headerDeadline(c)))
	q := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(q)
	q.Header.SetMethod(c.Method)
	q.SetRequestURI(c.Path)
	q.Header.SetHost(k.address)
	q.Header.SetNoDefaultContentType(true)
	e.dialect().SetHeaders(&q.Header, c, c.Deadline.Sub(e.Timer.Now()))
	q.SetBodyRaw(c.Body)
	if err := q.Write(k.out); err != nil {
		return err
	}
	return k.out.Flush()
}

// headerDeadline returns until when the headers of the answer to a call must come. A streamed batch item has no caller whose
// patience ends: a silent upstream may hold it no longer before its first event than between two.
func (e *Transport) headerDeadline(c *call.Call) time.Time {
	silent := e.Timer.Now().Add(e.BodyReadTimeout)
	if c.Batch && c.Stream && e.BodyReadTimeout > 0 && silent.Before(c.Deadline) {
		return silent
	}
	return c.Deadline
}

// refuseNotRun discards the answer to a call that the upstream did not run. It keeps the connection if the whole body has
// come already, and does not wait for it.
func (e *Transport) refuseNotRun(k *conn, a *answer.Answer, r answerheaders.Headers) error {
	if a.Length >= 0 && a.Length <= k.in.Buffered() {
		_, _ = io.CopyN(io.Discard, a.Body, maxDrainBytes)
	}
	_ = a.Body.Close()
	if r.Misdirected {
		return refusal.NewNotRun(503, "upstream-gone", "the address now belongs to another upstream")
	}
	return refusal.NewNotRun(503, "upstream-busy", "the upstream rejected the call without running it")
}

func (e *Transport) report(c *call.Call, r answerheaders.Headers) {
	if e.Leaving != nil && r.Leaving {
		e.Leaving(c.Upstream.Name, c.Upstream.Incarnation)
	}
	if e.Report == nil || !r.HasLoad {
		return
	}
	r.Load.Upstream = c.Upstream.Name
	r.Load.Incarnation = c.Upstream.Incarnation
	e.Report(r.Load, e.Timer.Now())
}

// reportLimit passes on what an answer says of the rate limit of the upstream; another upstream's limit is none of its own.
func (e *Transport) reportLimit(c *call.Call, r answerheaders.Headers, sent time.Time) {
	if e.RateLimit == nil || r.Misdirected || c.Upstream.Name == "" {
		return
	}
	e.RateLimit(upstreamlimit.Limit{
		Upstream:    c.Upstream.Name,
		Incarnation: c.Upstream.Incarnation,
		Value:       r.RateLimit,
		Sent:        sent,
		Received:    e.Timer.Now(),
	})
}

func (e *Transport) dialect() dialect {
	if e.Dialect == nil {
		return defaultDialect{}
	}
	return e.Dialect
}
