package answerdialer

import (
	"bufio"
	"context"
	"crypto/tls"
	"net"
	"time"
)

// Dialer opens connections on which one request at a time is sent and its answer is read to the end.
type Dialer struct {
	// TLS, if set, is the TLS configuration of the connections.
	TLS *tls.Config
	// Timeout, if set, limits the time to connect, TLS handshake included.
	Timeout time.Duration
	// Rejected, if set, is told the error in place of each answer that is rejected. The HTTP library does not pass it on.
	Rejected func(err error)
}

// Dial opens a connection to an address. Reading from it returns an error of answerhead.Peek in place of an answer whose head
// breaks the grammar of HTTP.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	if d.Timeout > 0 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, d.Timeout)
		defer cancel()
	}
	var n net.Dialer
	c, err := n.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	if d.TLS == nil {
		return d.newConn(c), nil
	}
	t, err := d.handshake(ctx, c, address)
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return &tlsConn{d.newConn(t)}, nil
}

func (d *Dialer) newConn(c net.Conn) *conn {
	return &conn{Conn: c, in: bufio.NewReaderSize(c, bufferSize), rejected: d.Rejected}
}

// handshake returns the TLS connection over c to the host of an address.
func (d *Dialer) handshake(ctx context.Context, c net.Conn, address string) (net.Conn, error) {
	s := d.TLS.Clone()
	if s.ServerName == "" {
		h, _, err := net.SplitHostPort(address)
		if err != nil {
			return nil, err
		}
		s.ServerName = h
	}
	t := tls.Client(c, s)
	return t, t.HandshakeContext(ctx)
}
