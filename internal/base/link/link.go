package link

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
	laneControl = "control"
	laneBulk    = "bulk"
	// bulkPrefix opens the names of methods that may carry many bytes.
	bulkPrefix = "bulk/"

	heartbeatInterval = 400 * time.Millisecond
	heartbeatTimeout  = 600 * time.Millisecond
	// silenceTimeout is how long sent bytes may stay without acknowledgement.
	silenceTimeout = 700 * time.Millisecond
	dialTimeout    = time.Second
	dialPause      = 200 * time.Millisecond
	callTimeout    = 5 * time.Second
	maxFrameBytes  = 16 << 20
)

// Link sends calls to peers and answers theirs.
type Link struct {
	// Name is the name of this host.
	Name string
	// Listener accepts the sessions of peers.
	Listener net.Listener
	// Peers are the addresses of hosts by name.
	Peers map[string]string
	// Port, if set, is the port of the hosts that Peers does not name; their names are IP addresses.
	Port string
	// Secret is shared by all hosts of the fleet.
	Secret []byte
	// ClientTLS, if set, secures the sessions that this host opens.
	ClientTLS *tls.Config
	// ServerTLS, if set, secures the sessions that peers open.
	ServerTLS *tls.Config
	// ConnectTimeout is the longest wait for a session, zero for the usual one.
	ConnectTimeout time.Duration
	// Dial, if set, replaces the dialer of the standard library.
	Dial func(ctx context.Context, address string) (net.Conn, error)
	// Timer tells the time.
	Timer *timer.Service
	// Log takes what happens to sessions.
	Log zerolog.Logger

	mu       sync.Mutex
	handlers map[string]Handler
	sessions map[slot]*session
	accepted map[*yamux.Session]struct{}
	group    *group.Group
}

// Handler answers a call of a peer.
type Handler func(ctx context.Context, from string, body []byte) ([]byte, error)

type slot struct {
	peer string
	lane string
}

// Handle registers the handler of a method and must be called before Run.
func (l *Link) Handle(method string, h Handler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.handlers == nil {
		l.handlers = map[string]Handler{}
	}
	l.handlers[method] = h
}

// Run accepts sessions until ctx ends.
func (l *Link) Run(ctx context.Context) error {
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

// Call asks a peer and waits for its answer; the error is a refusal with a true verdict.
func (l *Link) Call(ctx context.Context, to, method string, body []byte) ([]byte, error) {
	if to == l.Name {
		return l.answer(ctx, to, method, body)
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	e := l.session(slot{to, lane(method)})
	s, err := l.open(ctx, e, to, lane(method))
	if err != nil {
		return nil, refusal.NewNotRun(503, "peer-unreachable", err.Error()).WithRetryAfter(time.Second)
	}
	stop := l.watch(s.Session())
	b, whole, err := exchange(ctx, s, method, body)
	stop()
	if whole {
		e.keep(s)
	}
	return b, err
}

// Send tells a peer something without waiting for an answer and reports whether it was sent.
func (l *Link) Send(ctx context.Context, to, method string, body []byte) bool {
	if to == l.Name {
		_, err := l.answer(ctx, to, method, body)
		return err == nil
	}
	e := l.session(slot{to, lane(method)})
	s, err := l.open(ctx, e, to, lane(method))
	if err != nil || l.tell(s, method, body) != nil {
		return false
	}
	e.keep(s)
	return true
}

// Names returns the names of all peers but this host.
func (l *Link) Names() []string {
	var n []string
	for p := range l.Peers {
		if p != l.Name {
			n = append(n, p)
		}
	}
	return n
}

// address returns where a peer takes sessions.
func (l *Link) address(name string) (string, bool) {
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

func (l *Link) answer(ctx context.Context, from, method string, body []byte) ([]byte, error) {
	l.mu.Lock()
	h := l.handlers[method]
	l.mu.Unlock()
	if h == nil {
		return nil, refusal.NewNotRun(501, "unknown-method", "the peer does not know "+method)
	}
	return h(ctx, from, body)
}

// open returns a stream to a peer that no call uses.
func (l *Link) open(ctx context.Context, e *session, to, lane string) (*yamux.Stream, error) {
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
		_ = e.mux.Close()
		e.mux = nil
	}
	n := l.Timer.Now()
	if n.Before(e.pause) {
		return nil, errors.Newf("peer %s did not answer a moment ago", to)
	}
	m, err := l.connect(ctx, to, lane)
	if err != nil {
		e.pause = l.Timer.Now().Add(dialPause)
		return nil, err
	}
	e.mux = m
	e.idle = nil
	return m.OpenStream()
}

func (l *Link) session(k slot) *session {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sessions == nil {
		l.sessions = map[slot]*session{}
	}
	e := l.sessions[k]
	if e == nil {
		e = &session{}
		l.sessions[k] = e
	}
	return e
}

func (l *Link) close() {
	_ = l.Listener.Close()
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.sessions {
		if e.mu.TryLock() {
			if e.mux != nil {
				_ = e.mux.Close()
			}
			e.mu.Unlock()
		}
	}
	for m := range l.accepted {
		_ = m.Close()
	}
}
