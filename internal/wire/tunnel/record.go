package tunnel

import (
	"encoding/binary"
	"io"
	"net"
	"syscall"

	"github.com/cockroachdb/errors"
)

// kind is the kind of a record, which a gateway sends to the host that opened the tunnel.
type kind byte

const (
	// data is followed by the length of the bytes of the upstream, and the bytes.
	data kind = 1
	// closed means that the upstream closed its side. It is followed by one more than the number of bytes, modulo 2^32, that the
	// upstream had received, or by zero if the gateway does not say.
	closed kind = 2
	// broken means that the connection to the upstream failed.
	broken kind = 3
)

const (
	headerBytes = 1 + 4
	// bufferBytes is the longest record.
	bufferBytes = 8 << 10
)

// writeData sends bytes of the upstream, for which b has room behind a header.
func writeData(w io.Writer, b []byte) error {
	b[0] = byte(data)
	binary.BigEndian.PutUint32(b[1:headerBytes], uint32(len(b)-headerBytes))
	_, err := w.Write(b)
	return err
}

// writeClosed says that the upstream closed its side after it had received a number of bytes.
func writeClosed(w io.Writer, received uint32) error {
	var b [headerBytes]byte
	b[0] = byte(closed)
	binary.BigEndian.PutUint32(b[1:], received+1)
	_, err := w.Write(b[:])
	return err
}

// writeBroken says that the connection to the upstream failed.
func writeBroken(w io.Writer) error {
	b := [headerBytes]byte{byte(broken)}
	_, err := w.Write(b[:])
	return err
}

// lostError is the failure of a tunnel, which says nothing of the upstream.
type lostError struct {
	cause error
}

// Error implements error.Error.
func (l *lostError) Error() string {
	return "the host that carries the connection was lost"
}

// Unwrap returns the error of the connection to the gateway.
func (l *lostError) Unwrap() error {
	return l.cause
}

// PathLost says that the path was lost and not the upstream.
func (l *lostError) PathLost() bool {
	return true
}

// conn is the connection to an upstream through a tunnel.
type conn struct {
	net.Conn
	// written is the number of bytes that were written, modulo 2^32.
	written uint32
	// left is the number of bytes of the current record that were not read yet.
	left uint32
	// end is the error that ends the reading, nil while the tunnel is open.
	end error
}

// Read implements io.Reader.Read.
func (c *conn) Read(b []byte) (int, error) {
	for c.left == 0 && c.end == nil {
		if err := c.readHeader(); err != nil {
			return 0, err
		}
	}
	if c.end != nil {
		return 0, c.end
	}
	n, err := c.Conn.Read(b[:min(len(b), int(c.left))])
	c.left -= uint32(n)
	return n, c.lost(err)
}

// Write implements io.Writer.Write.
func (c *conn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written += uint32(n)
	return n, c.lost(err)
}

func (c *conn) readHeader() error {
	var h [headerBytes]byte
	if _, err := io.ReadFull(c.Conn, h[:]); err != nil {
		return c.lost(err)
	}
	switch kind(h[0]) {
	case data:
		c.left = binary.BigEndian.Uint32(h[1:])
	case closed:
		c.end = c.closedEnd(binary.BigEndian.Uint32(h[1:]))
	case broken:
		c.end = syscall.ECONNRESET
	default:
		c.end = &lostError{errors.Newf("unknown record %d", h[0])}
	}
	return nil
}

// closedEnd returns how a side of the upstream ended that it closed: one that had not received all that was written left early.
func (c *conn) closedEnd(received uint32) error {
	if received != 0 && received-1 != c.written {
		return syscall.ECONNRESET
	}
	return io.EOF
}

// lost returns the error of a tunnel that failed: its end is none of the upstream's.
func (c *conn) lost(err error) error {
	var t interface{ Timeout() bool }
	if err == nil || errors.As(err, &t) && t.Timeout() {
		return err
	}
	return &lostError{err}
}
