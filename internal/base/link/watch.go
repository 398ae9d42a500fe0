package link

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

// watcher pings the session of a call that waits, and ends the session when it has gone silent.
//
// Only waiting calls are watched: a session without calls costs nothing, and bytes that nobody
// acknowledges end their connection by themselves (see silence).
type watcher struct {
	link *Link
	mux  *yamux.Session

	mu      sync.Mutex
	stopped bool
	cancel  func()
}

// watch begins to watch a session until stop is called.
func (l *Link) watch(m *yamux.Session) (stop func()) {
	w := &watcher{link: l, mux: m}
	w.arm()
	return w.stop
}

// arm sets the next ping.
func (w *watcher) arm() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped {
		return
	}
	w.cancel = w.link.Timer.After(heartbeatInterval, func(time.Time) {
		w.link.group.Go("ping", func(context.Context) error {
			w.ping()
			return nil
		})
	})
}

// ping asks for a sign of life, and sets the next ping if there was one.
func (w *watcher) ping() {
	if _, err := w.mux.Ping(); err != nil {
		_ = w.mux.Close()
		return
	}
	w.arm()
}

// stop ends the watch.
func (w *watcher) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.cancel()
}

// silence ends a connection on which sent bytes stay without acknowledgement.
func silence(c net.Conn) error {
	s, ok := c.(syscall.Conn)
	if !ok {
		return nil
	}
	r, err := s.SyscallConn()
	if err != nil {
		return errors.Wrap(err, "bound the silence of a connection")
	}
	var failed error
	err = r.Control(func(fd uintptr) {
		failed = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	})
	return errors.Wrap(errors.CombineErrors(err, failed), "bound the silence of a connection")
}
