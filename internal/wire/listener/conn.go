package listener

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/headerscan"
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

	// id is the connection in the account of what the callers hold.
	id uint64
	// scan counts the lines of the header section that arrives; it is used by the reader alone.
	scan headerscan.Scanner
	// complete says that the request has arrived whole and is not answered yet.
	complete bool
	// lineBytes and bodyBytes are what is held for header lines and bodies.
	lineBytes, bodyBytes int64
}

// Read implements io.Reader.Read.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.ahead) > 0 && len(p) > 0 {
		n := copy(p, c.ahead)
		c.ahead = c.ahead[n:]
		c.lastUsed = c.listener.Timer.Now()
		c.mu.Unlock()
		return c.count(p, n, nil)
	}
	err := c.err
	c.mu.Unlock()
	if err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 && !c.touch() {
		return 0, net.ErrClosed
	}
	return c.count(p, n, err)
}

// Write implements io.Writer.Write.
func (c *conn) Write(p []byte) (int, error) {
	c.addBusy(1)
	defer c.addBusy(-1)
	g := c.listener.Guard
	g.Write(c.id)
	defer c.written()
	return c.Conn.Write(p)
}

// Close implements io.Closer.Close. A connection on which bytes came, and that is not closed as idle, waits a little for the
// caller to end it too.
func (c *conn) Close() error {
	if c.lingers() {
		c.linger()
	}
	c.listener.remove(c)
	c.leave()
	return c.Conn.Close()
}

func (c *conn) lingers() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.used && !c.closing
}

// touch records that bytes arrived and reports whether they may be read.
func (c *conn) touch() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.used = true
	c.begun = true
	c.lastUsed = c.listener.Timer.Now()
	return !c.closing
}

// markClosingIfIdle marks the connection as closing if it has had no call and no bytes either way for the time idle, or for the
// time stalled inside a request.
func (c *conn) markClosingIfIdle(now time.Time, idle, stalled time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.begun {
		idle = stalled
	}
	if c.busy > 0 || len(c.ahead) > 0 || now.Sub(c.lastUsed) < idle {
		return false
	}
	c.closing = true
	return true
}

func (c *conn) markBusy() func() {
	c.addBusy(1)
	return sync.OnceFunc(func() {
		c.addBusy(-1)
		c.mu.Lock()
		c.begun = false
		c.complete = false
		c.scan = headerscan.Scanner{MaxLines: c.listener.MaxHeaderLines}
		n := c.bodyBytes
		c.bodyBytes = 0
		c.mu.Unlock()
		c.listener.Guard.Finish(c.id, n)
	})
}

func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy > 0
}

func (c *conn) addBusy(n int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy += n
	c.lastUsed = c.listener.Timer.Now()
}

// watch reads one byte ahead to detect the end of the connection.
func (c *conn) watch(onClose func()) func() {
	done := make(chan struct{})
	c.listener.Group.Go("watch", func(context.Context) error {
		defer close(done)
		if c.readAhead() {
			onClose()
		}
		return nil
	})
	return sync.OnceFunc(func() {
		_ = c.SetReadDeadline(expired)
		<-done
		_ = c.SetReadDeadline(time.Time{})
	})
}

// readAhead reads one byte and reports whether the connection ended.
func (c *conn) readAhead() bool {
	var b [1]byte
	n, err := c.Conn.Read(b[:])
	c.mu.Lock()
	defer c.mu.Unlock()
	c.ahead = append(c.ahead, b[:n]...)
	var t net.Error
	if err == nil || errors.As(err, &t) && t.Timeout() {
		return false
	}
	c.err = err
	return true
}
