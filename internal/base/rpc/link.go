package rpc

import (
	"io"
	"net"

	"github.com/hashicorp/yamux"
)

// link is a yamux session and its connection.
type link struct {
	*yamux.Session

	conn net.Conn
}

// newLink returns the session that start opens on a connection, which it closes on failure.
func newLink(c net.Conn, lane string, start func(io.ReadWriteCloser, *yamux.Config) (*yamux.Session, error)) (*link, error) {
	m, err := start(&coalescingConn{Conn: c}, muxConfig(lane))
	if err != nil {
		_ = c.Close()
		return nil, err
	}
	return &link{Session: m, conn: c}, nil
}

// end closes the connection, upon which the session's receiver closes the session. Session.Close waits for the receiver
// while readers of streams poll without pause.
func (k *link) end() {
	_ = k.conn.Close()
}
