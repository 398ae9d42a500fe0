package listener

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// expired is a read deadline in the past, which interrupts a pending read.
var expired = time.Unix(1, 0)

// conn is a connection of a caller that can read one byte ahead to detect its end.
type conn struct {
	net.Conn
	listener *Listener

	mu    sync.Mutex
	ahead []byte
	err   error
	// busy counts the calls and writes under way.
	busy int
	// begun says that bytes came of a request that is no call yet.
	begun bool
	// used says that bytes arrived.
	used bool
	// closing says that the connection is being closed as idle; bytes that still arrive are not read.
	closing  bool
	lastUsed time.Time
}

// Read implements io.Reader.Read.
func (k *conn) Read(p []byte) (int, error) {
	k.mu.Lock()
	if len(k.ahead) > 0 && len(p) > 0 {
		n := copy(p, k.ahead)
		k.ahead = k.ahead[n:]
		k.lastUsed = k.listener.Timer.Now()
		k.mu.Unlock()
		return n, nil
	}
	err := k.err
	k.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := k.Conn.Read(p)
	if n > 0 && !k.touch() {
		return 0, net.ErrClosed
	}
	return n, err
}

// Write implements io.Writer.Write.
func (k *conn) Write(p []byte) (int, error) {
	k.addBusy(1)
	defer k.addBusy(-1)
	return k.Conn.Write(p)
}

// Close implements io.Closer.Close. A connection on which bytes came, and that is not closed as idle, waits a little for the
// caller to end it too.
func (k *conn) Close() error {
	if k.lingers() {
		k.linger()
	}
	k.listener.remove(k)
	return k.Conn.Close()
}

func (k *conn) lingers() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.used && !k.closing
}

// touch records that bytes arrived and reports whether they may be read.
func (k *conn) touch() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.used = true
	k.begun = true
	k.lastUsed = k.listener.Timer.Now()
	return !k.closing
}

// markClosingIfIdle marks the connection as closing if it has had no call and no bytes either way for the time idle, or for the
// time stalled inside a request.
func (k *conn) markClosingIfIdle(now time.Time, idle, stalled time.Duration) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	if k.begun {
		idle = stalled
	}
	if k.busy > 0 || len(k.ahead) > 0 || now.Sub(k.lastUsed) < idle {
		return false
	}
	k.closing = true
	return true
}

func (k *conn) markBusy() func() {
	k.addBusy(1)
	return sync.OnceFunc(func() {
		k.addBusy(-1)
		k.mu.Lock()
		defer k.mu.Unlock()
		k.begun = false
	})
}

func (k *conn) addBusy(n int) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.busy += n
	k.lastUsed = k.listener.Timer.Now()
}

// watch reads one byte ahead to detect the end of the connection.
func (k *conn) watch(onClose func()) func() {
	done := make(chan struct{})
	k.listener.Group.Go("watch", func(context.Context) error {
		defer close(done)
		if k.readAhead() {
			onClose()
		}
		return nil
	})
	return sync.OnceFunc(func() {
		_ = k.SetReadDeadline(expired)
		<-done
		_ = k.SetReadDeadline(time.Time{})
	})
}

// readAhead reads one byte and reports whether the connection ended.
func (k *conn) readAhead() bool {
	var b [1]byte
	n, err := k.Conn.Read(b[:])
	k.mu.Lock()
	defer k.mu.Unlock()
	k.ahead = append(k.ahead, b[:n]...)
	var t net.Error
	if err == nil || errors.As(err, &t) && t.Timeout() {
		return false
	}
	k.err = err
	return true
}
