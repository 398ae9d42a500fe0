package listener

import (
	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/clientguard"
)

// lineBytes is what the HTTP library holds for a header line beyond its bytes: a pair of slices, twice while its list grows,
// and their smallest allocations.
const lineBytes = 160

var (
	// ErrTooManyLines is the error of reading a header section of too many lines.
	ErrTooManyLines = errors.New("the header section has too many lines")
	// ErrNoRoom is the error of reading a header section for which there is no memory.
	ErrNoRoom = errors.New("the callers of this host hold too much memory")
)

// open adds the connection to the account and reports whether there is room for it.
func (c *conn) open() bool {
	l := c.listener
	var ok bool
	c.id, ok = l.Guard.Open(clientguard.Address(c.Conn), false, l.ConnBytes, c.evict)
	return ok
}

// evict closes the connection at once.
func (c *conn) evict() {
	c.mu.Lock()
	c.closing = true
	c.mu.Unlock()
	clientguard.Cut(c.Conn)
}

// written records the end of a write: of a part of a response, of an interim response that asks for the body, or of a response.
func (c *conn) written() {
	c.mu.Lock()
	complete, begun := c.complete, c.begun
	c.mu.Unlock()
	switch {
	case complete:
		c.listener.Guard.Run(c.id)
	case begun:
		c.listener.Guard.Continue(c.id)
	default:
		c.listener.Guard.Receive(c.id)
	}
}

// leave removes the connection from the account.
func (c *conn) leave() {
	c.listener.Guard.Close(c.id)
}

// count counts the header lines in n bytes that were read, and returns fewer bytes if they have too many lines.
func (c *conn) count(p []byte, n int, err error) (int, error) {
	g := c.listener.Guard
	if n == 0 || g == nil {
		return n, err
	}
	g.Progress(c.id)
	if c.scan.Ended() {
		return n, err
	}
	k, ok := c.scan.Scan(p[:n])
	if !ok {
		g.Count("clients-rejected-lines")
		c.fail(ErrTooManyLines)
		return k, nil
	}
	// The library keeps what it grew for a header section until the connection ends.
	if m := int64(c.scan.Lines()) * lineBytes; m > c.lineBytes {
		if !g.Grow(c.id, m-c.lineBytes) {
			c.fail(ErrNoRoom)
			return 0, ErrNoRoom
		}
		c.lineBytes = m
	}
	return n, err
}

// fail makes further reads fail.
func (c *conn) fail(err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.err = err
}

// Reserve reserves n bytes for the request until it ends, and reports whether there is room.
func (c *conn) Reserve(n int64) bool {
	if !c.listener.Guard.Grow(c.id, n) {
		return false
	}
	c.reserved(n)
	return true
}

// ReserveLarge is Reserve for the largest requests, of which one at a time has room in any account.
func (c *conn) ReserveLarge(n int64) bool {
	ok, beyond := c.listener.Guard.GrowLarge(c.id, n)
	if ok && !beyond {
		c.reserved(n)
	}
	return ok
}

// ReserveSpare is Reserve for an answer that could also be passed on as it arrives. Nobody is evicted for it.
func (c *conn) ReserveSpare(n int64) bool {
	if !c.listener.Guard.GrowSpare(c.id, n) {
		return false
	}
	c.reserved(n)
	return true
}

func (c *conn) reserved(n int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.bodyBytes += n
}

// Release releases n bytes of those reserved.
func (c *conn) Release(n int64) {
	c.mu.Lock()
	n = min(n, c.bodyBytes)
	c.bodyBytes -= n
	c.mu.Unlock()
	c.listener.Guard.Shrink(c.id, n)
}

// Arrived reports whether the request has arrived whole.
func (c *conn) Arrived() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.complete
}

// Complete records that the request has arrived, so that the connection is not closed before it is answered.
func (c *conn) Complete() {
	c.mu.Lock()
	c.complete = true
	c.mu.Unlock()
	c.listener.Guard.Run(c.id)
}
