package rpc

import (
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"golang.org/x/sys/unix"
)

// pinger pings the session of a pending call and closes the session if a ping fails.
//
// A session without pending calls is not pinged and costs nothing. If sent bytes stay unacknowledged,
// the kernel closes the connection (see setUnackedTimeout).
type pinger struct {
	endpoint *Endpoint
	peer     *session
	mux      *yamux.Session
	// holders is the number of open streams for which it pings, guarded by the lock of peer.
	holders int

	mu      sync.Mutex
	stopped bool
	cancel  func()
}

// startPings pings the session of a stream to a peer until stop is called.
func (l *Endpoint) startPings(e *session, s *yamux.Stream) (stop func()) {
	return l.newPinger(e, s.Session()).stop
}

// newPinger returns a pinger that pings a session until it is stopped.
func (l *Endpoint) newPinger(e *session, m *yamux.Session) *pinger {
	w := &pinger{endpoint: l, peer: e, mux: m}
	w.arm()
	return w
}

// arm schedules the next ping.
func (w *pinger) arm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.cancel = w.endpoint.Timer.After(pingInterval, func(time.Time) { w.start() })
}

// start pings beside the timer; before Run it only schedules the next ping.
func (w *pinger) start() {
	g := w.endpoint.running()
	if g == nil {
		w.arm()
		return
	}
	g.Go("ping", func(context.Context) error {
		w.ping()
		return nil
	})
}

// ping pings the session once, and schedules the next ping if the peer replies.
func (w *pinger) ping() {
	if _, err := w.mux.Ping(); err != nil {
		w.peer.end(w.mux)
		return
	}
	w.arm()
}

// stop ends the pings.
func (w *pinger) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.cancel()
}

// setUnackedTimeout sets TCP_USER_TIMEOUT, which closes a connection whose sent bytes stay unacknowledged.
func setUnackedTimeout(c net.Conn) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	r, err := s.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "set TCP_USER_TIMEOUT")
	}
	var failed error
	err = r.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, failed), "set TCP_USER_TIMEOUT")
}
