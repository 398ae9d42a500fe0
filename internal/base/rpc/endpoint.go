package rpc

import (
	"context"
	"crypto/tls"
	"net"
	"strings"
	"sync"
	"sync/atomic"
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
	// maxStreams bounds the streams of a session that are served at once. A host has a few calls at a time to a peer, and as a
	// gateway serves at most 512 tunnels.
	maxStreams = 2048
	// maxHandshakes bounds the accepted connections that have not proved that they are of a peer. A peer proves it within
	// milliseconds, so that the oldest are of others.
	maxHandshakes = 256
	// rejectedLogInterval is the least time between two log lines on rejected connections.
	rejectedLogInterval = 10 * time.Second
	// maxOpenAttempts is how often a stream is tried to be opened on sessions that end at once.
	maxOpenAttempts = 3
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

	// ended says that no session may be opened any more.
	ended    atomic.Bool
	mu       sync.Mutex
	handlers map[string]Handler
	sessions map[sessionKey]*session
	accepted map[*link]struct{}
	group    *group.Group
	// handshakes holds the connections whose handshake is under way, the oldest first.
	handshakes []net.Conn
	// rejected counts the connections that were rejected since the last log line on them.
	rejected       int
	rejectedLogged time.Time

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

// running returns the group of Run, nil before it.
func (l *Endpoint) running() *group.Group {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.group
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

// openStream returns an idle or new stream to a peer, and waits for a session if there is none.
func (l *Endpoint) openStream(ctx context.Context, e *session, to, lane string) (*yamux.Stream, error) {
	for range maxOpenAttempts {
		s, dialed, err := l.tryOpen(e, to, lane)
		if s != nil || err != nil {
			return s, err
		}
		select {
		case <-dialed:
		case <-ctx.Done():
			return nil, ctx.Err()
		}
	}
	return nil, errors.Newf("sessions to peer %s end at once", to)
}

// tryOpen returns a stream if there is a session, or else begins to dial and returns a channel that is closed after it.
func (l *Endpoint) tryOpen(e *session, to, lane string) (*yamux.Stream, <-chan struct{}, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s := e.idleStream(); s != nil {
		return s, nil, nil
	}
	if e.mux != nil && !e.mux.IsClosed() {
		s, err := e.mux.OpenStream()
		if err == nil {
			return s, nil, nil
		}
		e.mux.end()
		e.mux = nil
	}
	if e.dialed != nil {
		return nil, e.dialed, nil
	}
	if l.Timer.Now().Before(e.retryAt) {
		return nil, nil, errors.Wrapf(e.failure, "dial peer %s", to)
	}
	e.dialed = make(chan struct{})
	group.NewGroup(context.Background()).Go("dial", func(ctx context.Context) error {
		l.dialSession(ctx, e, to, lane)
		return nil
	})
	return nil, e.dialed, nil
}

// dialSession dials a peer for all calls that wait for it, whichever of them are given up meanwhile.
func (l *Endpoint) dialSession(ctx context.Context, e *session, to, lane string) {
	m, err := l.connect(ctx, to, lane)
	e.mu.Lock()
	defer e.mu.Unlock()
	close(e.dialed)
	e.dialed = nil
	if err != nil {
		e.failure = err
		e.retryAt = l.Timer.Now().Add(dialBackoff)
		return
	}
	e.mux = m
	e.idle = nil
	if l.ended.Load() {
		m.end()
	}
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
	l.ended.Store(true)
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
