package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/pkg/refusal"
)

const (
	// Each lane has its own session to a peer.
	laneControl = "control"
	laneBulk    = "bulk"
	// bulkPrefix is the prefix of methods with large bodies, which use a separate session.
	bulkPrefix = "bulk/"

	// pingInterval is the time between pings of a session with pending calls.
	pingInterval = 400 * time.Millisecond
	// pingTimeout bounds the wait for the reply to a ping, and each write to a session.
	pingTimeout = 600 * time.Millisecond
	// unackedTimeout is how long sent bytes may stay unacknowledged.
	unackedTimeout = 700 * time.Millisecond
	dialTimeout    = time.Second
	dialBackoff    = 200 * time.Millisecond
	callTimeout    = 5 * time.Second
	maxFrameBytes  = 16 << 20
)

// Endpoint sends calls to peers and serves their calls.
type Endpoint struct {
	// Name is the name of this host.
	Name string
	// Listener accepts the sessions of peers.
	Listener net.Listener
	// Peers maps the names of hosts to their addresses.
	Peers map[string]string
	// Port, if set, is the port of hosts that are not in Peers. The names of these hosts are IP addresses.
	Port string
	// Secret is shared by all hosts of the fleet.
	Secret []byte
	// ClientTLS, if set, enables TLS on the sessions that this host opens.
	ClientTLS *tls.Config
	// ServerTLS, if set, enables TLS on the sessions that peers open.
	ServerTLS *tls.Config
	// ConnectTimeout bounds the opening of a session, zero for the default of one second.
	ConnectTimeout time.Duration
	// Dial, if set, replaces the dialer of the standard library.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Timer is the clock.
	Timer *timer.Service
	// Log receives the events of sessions.
	Log zerolog.Logger

	mu       sync.Mutex
	handlers map[string]Handler
	sessions map[sessionKey]*session
	accepted map[*link]struct{}
	group    *group.Group

	streamHandlers map[string]StreamHandler
}

// Handler serves a call of the peer named from.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

type sessionKey struct {
	peer string
	lane string
}

// Handle registers the handler of a method. Call it before Run.
func (l *Endpoint) Handle(method string, h Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handlers == nil {
		l.handlers = map[string]Handler{}
	}
	l.handlers[method] = h
}

// Run accepts the sessions of peers until ctx ends.
func (l *Endpoint) Run(ctx context.Context) error {
	g := group.NewGroup(ctx)
	l.mu.Lock()
	l.group = g
	l.mu.Unlock()
	g.Go("accept", l.accept)
	g.Go("close", func(ctx context.Context) error {
		<-ctx.Done()
		l.close()
		return ctx.Err()
	})
	return g.Wait()
}

// Call calls a method of a peer and waits for its answer.
//
// The error is a refusal whose verdict says whether the peer may have run the call.
func (l *Endpoint) Call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	if to == l.Name {
		return l.dispatch(ctx, to, method, body)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e := l.session(sessionKey{to, lane(method)})
	s, err := l.openStream(ctx, e, to, lane(method))
	if err != nil {
		return nil, refusal.NewNotRun(503, "peer-unreachable", err.Error()).WithRetryAfter(time.Second)
	}
	stop := l.startPings(e, s)
	b, reusable, err := roundTrip(ctx, s, method, body)
	stop()
	if reusable {
		e.release(s)
	}
	return b, err
}

// Send sends a one-way call to a peer and reports whether it was sent.
func (l *Endpoint) Send(ctx context.Context, to, method string, body []byte) bool {
	if to == l.Name {
		_, err := l.dispatch(ctx, to, method, body)
		return err == nil
	}
	e := l.session(sessionKey{to, lane(method)})
	s, err := l.openStream(ctx, e, to, lane(method))
	if err != nil || l.sendOneWay(s, method, body) != nil {
		return false
	}
	e.release(s)
	return true
}

// Names returns the names in Peers, without this host.
func (l *Endpoint) Names() []string {
	var n []string
	for p := range l.Peers {
		if p != l.Name {
			n = append(n, p)
		}
	}
	return n
}

// address returns the address at which a peer accepts sessions.
func (l *Endpoint) address(name string) (string, bool) {
	if a, ok := l.Peers[name]; ok {
		return a, true
	}
	return net.JoinHostPort(name, l.Port), l.Port != "" && net.ParseIP(name) != nil
}

func lane(method string) string {
	if strings.HasPrefix(method, bulkPrefix) {
		return laneBulk
	}
	return laneControl
}

func (l *Endpoint) dispatch(ctx context.Context, from, method string, body []byte) ([]byte, error) {
	l.mu.Lock()
	h := l.handlers[method]
	l.mu.Unlock()
	if h == nil {
		return nil, refusal.NewNotRun(501, "unknown-method", "the peer has no method "+method)
	}
	return h(ctx, from, body)
}

// openStream returns an idle or new stream to a peer, and dials the peer if there is no session.
func (l *Endpoint) openStream(ctx context.Context, e *session, to, lane string) (*yamux.Stream, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.idleStream(); s != nil {
		return s, nil
	}
	if e.mux != nil && !e.mux.IsClosed() {
		s, err := e.mux.OpenStream()
		if err == nil {
			return s, nil
		}
		e.mux.end()
		e.mux = nil
	}
	n := l.Timer.Now()
	if n.Before(e.retryAt) {
		return nil, errors.Newf("dialing peer %s failed recently, waiting before the next attempt", to)
	}
	m, err := l.connect(ctx, to, lane)
	if err != nil {
		e.retryAt = l.Timer.Now().Add(dialBackoff)
		return nil, err
	}
	e.mux = m
	e.idle = nil
	return m.OpenStream()
}

func (l *Endpoint) session(k sessionKey) *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sessions == nil {
		l.sessions = map[sessionKey]*session{}
	}
	e := l.sessions[k]
	if e == nil {
		e = &session{}
		l.sessions[k] = e
	}
	return e
}

func (l *Endpoint) close() {
	_ = l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.sessions {
		if e.mu.TryLock() {
			if e.mux != nil {
				e.mux.end()
			}
			e.mu.Unlock()
		}
	}
	for m := range l.accepted {
		m.end()
	}
}
