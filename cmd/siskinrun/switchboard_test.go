package main

import (
	"context"
	"maps"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
)

// link is the state of a link between a host and an upstream.
type link string

const (
	// sound carries all bytes.
	sound link = "sound"
	// hang carries no bytes: new connections wait until their context ends, and open ones neither bring bytes nor end. What is
	// written meanwhile arrives once the link is sound again.
	hang link = "hang"
	// resets ends open connections, and new ones hang.
	resets link = "reset"
	// refuse lets open connections live on and refuses new ones.
	refuse link = "refuse"
	// deaf carries bytes to the upstream but none back: new connections hang.
	deaf link = "deaf"
)

// maxPending is the number of bytes that may be written to a connection that hangs.
const maxPending = 256 << 10

// past is a deadline that ends a read or write at once.
var past = time.Unix(1, 0)

// ends are the two ends of a link; an empty address stands for all upstreams.
type ends struct {
	host, address string
}

// switchboard holds the links between hosts and upstreams.
type switchboard struct {
	mu    sync.Mutex
	links map[ends]link
	conns map[*linkConn]bool
	// dials counts the connections that each host tried to open.
	dials map[string]int
}

func newSwitchboard() *switchboard {
	return &switchboard{links: map[ends]link{}, conns: map[*linkConn]bool{}, dials: map[string]int{}}
}

// set changes the link between a host and an address, or between the host and all that have no link of their own.
func (b *switchboard) set(host, address string, l link) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.links[ends{host, address}] = l
	b.changed(host)
}

// restore makes all links of a host sound.
func (b *switchboard) restore(host string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	maps.DeleteFunc(b.links, func(e ends, _ link) bool { return e.host == host })
	b.changed(host)
}

// forget lets the link between a host and an address be as the one between the host and all upstreams.
func (b *switchboard) forget(host, address string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	delete(b.links, ends{host, address})
	b.changed(host)
}

// changed tells the connections of a host of its links; the caller holds the lock.
func (b *switchboard) changed(host string) {
	for c := range b.conns {
		if c.ends.host == host {
			c.change(b.find(c.ends))
		}
	}
}

// find returns the state of a link; the caller holds the lock.
func (b *switchboard) find(e ends) link {
	for _, k := range []ends{e, {host: e.host}} {
		if l, ok := b.links[k]; ok {
			return l
		}
	}
	return sound
}

// dialer returns the dialer of a host.
func (b *switchboard) dialer(host string) func(ctx context.Context, address string) (net.Conn, error) {
	return func(ctx context.Context, address string) (net.Conn, error) {
		return b.dial(ctx, ends{host, address})
	}
}

func (b *switchboard) dial(ctx context.Context, e ends) (net.Conn, error) {
	b.mu.Lock()
	b.dials[e.host]++
	l := b.find(e)
	b.mu.Unlock()
	switch l {
	case refuse:
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: os.NewSyscallError("connect", syscall.ECONNREFUSED)}
	case hang, resets, deaf:
		<-ctx.Done()
		return nil, &net.OpError{Op: "dial", Net: "tcp", Err: ctx.Err()}
	}
	var d net.Dialer
	k, err := d.DialContext(ctx, "tcp", e.address)
	if err != nil {
		return nil, err
	}
	c := &linkConn{TCPConn: k.(*net.TCPConn), board: b, ends: e, link: sound}
	c.silent, c.other = net.Pipe()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.conns[c] = true
	c.change(b.find(e))
	return c, nil
}

// dialed returns how many connections a host has tried to open.
func (b *switchboard) dialed(host string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.dials[host]
}

// end closes all connections.
func (b *switchboard) end() {
	b.mu.Lock()
	defer b.mu.Unlock()
	for c := range b.conns {
		_ = c.TCPConn.Close()
		_ = c.silent.Close()
	}
}

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
