package listener

import (
	"maps"
	"net"
	"slices"
	"sync"
	"time"

	"siskinrun/internal/base/clientguard"
	"siskinrun/internal/base/group"
	"siskinrun/internal/base/headerscan"
	"siskinrun/internal/base/timer"
)

// Listener accepts connections, tracks the open ones and can watch them for a disconnect.
type Listener struct {
	net.Listener
	// Timer is the clock.
	Timer *timer.Service
	// Group runs the watchers.
	Group *group.Group
	// Guard, if set, is the account of what the callers hold.
	Guard *clientguard.Guard
	// ConnBytes is what a connection holds by itself.
	ConnBytes int64
	// MaxHeaderLines bounds the lines of a header section, zero for no bound.
	MaxHeaderLines int

	mu   sync.Mutex
	open map[*conn]struct{}
	// stopped says that no new connections are accepted, while open ones continue.
	stopped bool
	once    sync.Once
	closed  chan struct{}
}

// Accept implements net.Listener.Accept. A connection that there is no room for is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		k, err := l.accept()
		if err != nil {
			return nil, err
		}
		if k.open() {
			return k, nil
		}
		l.remove(k)
		_ = k.Conn.Close()
	}
}

func (l *Listener) accept() (*conn, error) {
	c, err := l.Listener.Accept()
	if err != nil && l.isStopped() {
		<-l.done()
	}
	if err != nil {
		return nil, err
	}
	k := &conn{Conn: c, listener: l, lastUsed: l.Timer.Now(), scan: headerscan.Scanner{MaxLines: l.MaxHeaderLines}}
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.open == nil {
		l.open = map[*conn]struct{}{}
	}
	l.open[k] = struct{}{}
	return k, nil
}

// OpenConns returns the number of open connections.
func (l *Listener) OpenConns() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return len(l.open)
}

// StopAccepting closes the inner listener. Accept then blocks until Close, so that the server keeps its connections.
func (l *Listener) StopAccepting() error {
	l.mu.Lock()
	l.stopped = true
	l.mu.Unlock()
	return l.Listener.Close()
}

// Close implements net.Listener.Close.
func (l *Listener) Close() error {
	c := l.done()
	l.mu.Lock()
	defer l.mu.Unlock()
	select {
	case <-c:
	default:
		close(c)
	}
	if l.stopped {
		return nil // already closed by StopAccepting
	}
	return l.Listener.Close()
}

// done returns a channel that Close closes.
func (l *Listener) done() chan struct{} {
	l.once.Do(func() { l.closed = make(chan struct{}) })
	return l.closed
}

func (l *Listener) isStopped() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stopped
}

// CloseIdle closes the connections that have had no call and no bytes either way for the time idle, or for the time stalled
// inside a request.
func (l *Listener) CloseIdle(idle, stalled time.Duration) {
	n := l.Timer.Now()
	l.mu.Lock()
	var q []*conn
	for k := range l.open {
		if k.markClosingIfIdle(n, idle, stalled) {
			q = append(q, k)
		}
	}
	l.mu.Unlock()
	for _, k := range q {
		_ = k.Close()
	}
}

// CloseAll closes all connections without waiting for their calls, and returns how many were busy with one.
func (l *Listener) CloseAll() (busy int) {
	l.mu.Lock()
	q := slices.Collect(maps.Keys(l.open))
	l.mu.Unlock()
	for _, k := range q {
		if k.isBusy() {
			busy++
		}
		l.remove(k)
		_ = k.Conn.Close()
		k.leave()
	}
	return busy
}

// Watch calls onClose if the peer of c closes the connection before stop is called.
func (l *Listener) Watch(c net.Conn, onClose func()) (stop func()) {
	k, ok := c.(*conn)
	if !ok {
		return func() {}
	}
	return k.watch(onClose)
}

// MarkBusy marks a connection as busy with a call until done is called.
func (l *Listener) MarkBusy(c net.Conn) (done func()) {
	k, ok := c.(*conn)
	if !ok {
		return func() {}
	}
	return k.markBusy()
}

func (l *Listener) remove(k *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.open, k)
}
