package answerdialer

import (
	"bufio"
	"net"

	"siskinrun/internal/base/answerhead"
)

// bufferSize limits the size of a head.
const bufferSize = 16 << 10

// conn is a connection that looks at the head of each answer before it passes it on.
type conn struct {
	net.Conn
	in *bufio.Reader
	// headFollows says that the next bytes are a head that has not been looked at.
	headFollows bool
	// left is the number of bytes that are left of a head that has been.
	left int
	// rejected is told the error in place of an answer, nil for nobody.
	rejected func(err error)
}

// Write implements io.Writer.Write. What is written is a request, or a part of one, behind which an answer follows.
func (c *conn) Write(b []byte) (int, error) {
	c.headFollows = true
	return c.Conn.Write(b)
}

// Read implements io.Reader.Read.
func (c *conn) Read(b []byte) (int, error) {
	if c.headFollows && c.left == 0 {
		h, err := answerhead.Peek(c.in)
		if err != nil {
			c.reject(err)
			return 0, err
		}
		c.left = h.Length
		c.headFollows = h.Interim()
	}
	if c.left > 0 {
		b = b[:min(len(b), c.left)]
	}
	n, err := c.in.Read(b)
	c.left -= min(c.left, n)
	return n, err
}

// reject tells of an answer in place of which err is returned, unless it is the connection that failed.
func (c *conn) reject(err error) {
	if c.rejected != nil && answerhead.Rejects(err) {
		c.rejected(err)
	}
}

// tlsConn is a connection with TLS.
type tlsConn struct {
	*conn
}

// Handshake tells the HTTP library that the handshake is done.
func (c *tlsConn) Handshake() error {
	return nil
}
