package main

import (
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// maxPending is the number of bytes that may be written to a connection that hangs.
const maxPending = 256 << 10

// past is a deadline that ends a read or write at once.
var past = time.Unix(1, 0)

// linkConn is a connection over a link.
type linkConn struct {
	*net.TCPConn
	board *switchboard
	ends  ends
	// silent brings nothing, and stands in for the connection while it hangs.
	silent, other net.Conn

	mu   sync.Mutex
	link link
	// changes counts the changes of the link.
	changes         int
	read, write     time.Time
	pending         []byte
	closed, dropped bool
}

// change takes the state of the link; the switchboard holds its lock.
func (c *linkConn) change(l link) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if l == c.link || c.dropped {
		return
	}
	c.link = l
	c.changes++
	if l == resets {
		c.drop()
		return
	}
	if l != hang {
		c.flush()
	}
	c.setDeadlines()
}

// drop resets the connection.
func (c *linkConn) drop() {
	c.dropped = true
	_ = c.SetLinger(0)
	_ = c.TCPConn.Close()
	_ = c.silent.Close()
}

// flush sends what was written while the connection did hang.
func (c *linkConn) flush() {
	_ = c.TCPConn.SetWriteDeadline(time.Time{})
	_, _ = c.TCPConn.Write(c.pending)
	c.pending = nil
	if c.closed {
		_ = c.TCPConn.Close()
	}
}

// setDeadlines applies the deadlines to what is read and written now, and ends waits elsewhere.
func (c *linkConn) setDeadlines() {
	reads, writes := []net.Conn{c.TCPConn, c.silent}, []net.Conn{c.TCPConn, c.silent}
	if c.link == hang || c.link == deaf {
		reads[0], reads[1] = reads[1], reads[0]
	}
	if c.link == hang {
		writes[0], writes[1] = writes[1], writes[0]
	}
	_ = reads[0].SetReadDeadline(c.read)
	_ = reads[1].SetReadDeadline(past)
	_ = writes[0].SetWriteDeadline(c.write)
	_ = writes[1].SetWriteDeadline(past)
}

// SetDeadline implements net.Conn.SetDeadline.
func (c *linkConn) SetDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read, c.write = t, t
	c.setDeadlines()
	return nil
}

// SetReadDeadline implements net.Conn.SetReadDeadline.
func (c *linkConn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.read = t
	c.setDeadlines()
	return nil
}

// SetWriteDeadline implements net.Conn.SetWriteDeadline.
func (c *linkConn) SetWriteDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.write = t
	c.setDeadlines()
	return nil
}

// state returns the state of the link and the number of its changes.
func (c *linkConn) state() (l link, changes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.link, c.changes
}

// result returns the error of an operation that ended with err, or nil if the link has changed beside it and it is to go on.
func (c *linkConn) result(op string, err error, changes int) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return &net.OpError{Op: op, Net: "tcp", Err: net.ErrClosed}
	case c.dropped:
		return &net.OpError{Op: op, Net: "tcp", Err: os.NewSyscallError(op, syscall.ECONNRESET)}
	case changes != c.changes && errors.Is(err, os.ErrDeadlineExceeded):
		return nil
	}
	return err
}

// Read implements net.Conn.Read.
func (c *linkConn) Read(p []byte) (int, error) {
	for {
		l, changes := c.state()
		from := net.Conn(c.TCPConn)
		if l == hang || l == deaf {
			from = c.silent
		}
		n, err := from.Read(p)
		if n > 0 || err == nil {
			return n, err
		}
		if err = c.result("read", err, changes); err != nil {
			return 0, err
		}
	}
}

// Write implements net.Conn.Write.
func (c *linkConn) Write(p []byte) (int, error) {
	sent := 0
	for {
		l, changes := c.state()
		n, err := c.writeOver(l, p[sent:])
		sent += n
		if err == nil && sent == len(p) {
			return sent, nil
		}
		if err == nil {
			continue
		}
		if err = c.result("write", err, changes); err != nil {
			return sent, err
		}
	}
}

// writeOver writes over a link in a state, and keeps what does not arrive for now.
func (c *linkConn) writeOver(l link, p []byte) (int, error) {
	if l != hang {
		return c.TCPConn.Write(p)
	}
	if n := c.keep(p); n > 0 {
		return n, nil
	}
	return c.silent.Write(p)
}

func (c *linkConn) keep(p []byte) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.link != hang || c.closed {
		return 0
	}
	n := min(len(p), maxPending-len(c.pending))
	c.pending = append(c.pending, p[:n]...)
	return n
}

// SyscallConn implements syscall.Conn.SyscallConn. Nothing is seen to arrive on a connection that hangs.
func (c *linkConn) SyscallConn() (syscall.RawConn, error) {
	if l, _ := c.state(); l == hang || l == deaf {
		return quietConn{}, nil
	}
	return c.TCPConn.SyscallConn()
}

// Close implements net.Conn.Close. The upstream hears of it once the link is sound.
func (c *linkConn) Close() error {
	c.board.mu.Lock()
	defer c.board.mu.Unlock()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return net.ErrClosed
	}
	c.closed = true
	_ = c.silent.Close()
	if c.link == hang {
		return nil
	}
	delete(c.board.conns, c)
	return c.TCPConn.Close()
}

// quietConn is a connection on which nothing arrives.
type quietConn struct{}

// Control implements syscall.RawConn.Control.
func (quietConn) Control(func(fd uintptr)) error { return nil }

// Read implements syscall.RawConn.Read with a descriptor that has nothing to read.
func (quietConn) Read(f func(fd uintptr) bool) error {
	s, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_DGRAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		return err
	}
	defer func() { _ = syscall.Close(s) }()
	f(uintptr(s))
	return nil
}

// Write implements syscall.RawConn.Write.
func (quietConn) Write(func(fd uintptr) bool) error { return nil }
