package clientguard

import (
	"bytes"
	"crypto/tls"
	"net"
	"sync"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/headerscan"
)

const (
	// connectionBytes is what a connection of an HTTP server takes: two buffers of 4 KB, a stack and the request.
	connectionBytes = 24 << 10
	// copies is how often a body is held while its request is decoded.
	copies = 2
	// maxLines bounds the header lines of upstreams and operators. It is more than fit into 16 KB; what lines take is on the account.
	maxLines = 8192
	// lineBytes is what the HTTP library takes for a header line beyond its bytes.
	lineBytes = 160
)

// interimResponse begins a response that asks for the body of the same request.
var interimResponse = []byte("HTTP/1.1 100 ")

var (
	errNoRoom       = errors.New("the clients of this host hold too much memory")
	errTooManyLines = errors.New("the header section has too many lines")
)

// Listener returns a listener for upstreams or operators whose connections are on the account. What arrives counts until the
// response, and an announced length from the end of the header section, since the HTTP library allocates it then. Of encrypted
// connections only the bytes count.
func (g *Guard) Listener(l net.Listener, encrypted bool) net.Listener {
	return g.listener(l, encrypted, false)
}

// StreamListener is Listener for a server that reserves the memory of bodies itself.
func (g *Guard) StreamListener(l net.Listener) net.Listener {
	return g.listener(l, false, true)
}

func (g *Guard) listener(l net.Listener, encrypted, streamed bool) net.Listener {
	if g == nil {
		return l
	}
	return &guarded{Listener: l, guard: g, encrypted: encrypted, streamed: streamed}
}

type guarded struct {
	net.Listener
	guard     *Guard
	encrypted bool
	streamed  bool
}

// Accept implements net.Listener.Accept.
func (l *guarded) Accept() (net.Conn, error) {
	for {
		c, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		k := &conn{Conn: c, guard: l.guard, encrypted: l.encrypted, streamed: l.streamed}
		var ok bool
		if k.id, ok = l.guard.Open(Address(c), true, connectionBytes, func() { Cut(c) }); ok {
			k.reset()
			return k, nil
		}
		_ = c.Close()
	}
}

// Address returns the host of the remote address of a connection.
func Address(c net.Conn) string {
	s := c.RemoteAddr().String()
	if h, _, err := net.SplitHostPort(s); err == nil {
		return h
	}
	return s
}

// Cut closes a connection at once, under TLS without a close message, which could block.
func Cut(c net.Conn) {
	if t, ok := c.(*tls.Conn); ok {
		c = t.NetConn()
	}
	_ = c.Close()
}

// conn is a connection of an upstream or operator.
type conn struct {
	net.Conn
	guard     *Guard
	encrypted bool
	streamed  bool
	id        uint64
	once      sync.Once

	mu   sync.Mutex
	scan headerscan.Scanner
	// received counts the bytes of the current request, reserved what its server reserved, and charged what is held for it.
	received, reserved, charged int64
}

// Reserve reserves n bytes for the request until its response, and reports whether there is room.
func (c *conn) Reserve(n int64) bool {
	if !c.guard.Grow(c.id, n) {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reserved += n
	c.charged += n
	return true
}

// Release releases n bytes of those reserved.
func (c *conn) Release(n int64) {
	c.mu.Lock()
	n = min(n, c.reserved)
	c.reserved -= n
	c.charged -= n
	c.mu.Unlock()
	c.guard.Shrink(c.id, n)
}

// Complete records that the request has arrived.
func (c *conn) Complete() { c.guard.Run(c.id) }

// Read implements io.Reader.Read.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.guard.Progress(c.id)
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.encrypted {
		if _, ok := c.scan.Scan(p[:n]); !ok {
			c.guard.Count("clients-rejected-lines")
			return 0, errTooManyLines
		}
	}
	c.received += int64(n)
	need := c.received * copies
	if c.streamed {
		need = c.reserved
	} else if c.scan.Ended() {
		need = max(need, c.scan.ContentLength())
	}
	need += int64(c.scan.Lines()) * lineBytes
	if need <= c.charged {
		return n, err
	}
	if !c.guard.Grow(c.id, need-c.charged) {
		return 0, errNoRoom
	}
	c.charged = need
	return n, err
}

// Write implements io.Writer.Write.
func (c *conn) Write(p []byte) (int, error) {
	if bytes.HasPrefix(p, interimResponse) {
		return c.Conn.Write(p)
	}
	c.guard.Write(c.id)
	n, err := c.Conn.Write(p)
	c.reset()
	return n, err
}

// reset begins another request.
func (c *conn) reset() {
	c.mu.Lock()
	n := c.charged
	c.received, c.reserved, c.charged, c.scan = 0, 0, 0, headerscan.Scanner{MaxLines: maxLines}
	c.mu.Unlock()
	c.guard.Shrink(c.id, n)
	c.guard.Receive(c.id)
}

// Close implements io.Closer.Close.
func (c *conn) Close() error {
	c.once.Do(func() { c.guard.Close(c.id) })
	return c.Conn.Close()
}
