package transport

import (
	"bufio"
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/pkg/refusal"
)

// conn is one connection to an upstream that counts the bytes it wrote.
type conn struct {
	net.Conn
	address string
	in      *bufio.Reader
	out     *bufio.Writer
	sent    atomic.Int64
	reused  bool
	// idleTTL is how long the connection may be idle, zero for the usual time.
	idleTTL   time.Duration
	idleSince time.Time
	stopAbort func() bool
}

func newConn(c net.Conn, address string) *conn {
	k := &conn{Conn: c, address: address}
	k.in = bufio.NewReaderSize(c, readBufferSize)
	k.out = bufio.NewWriter(k)
	return k
}

// Write implements io.Writer.Write.
func (k *conn) Write(b []byte) (int, error) {
	n, err := k.Conn.Write(b)
	k.sent.Add(int64(n))
	return n, err
}

func (k *conn) abort() {
	_ = k.Conn.Close()
}

func (k *conn) close() {
	if k.stopAbort != nil {
		k.stopAbort()
	}
	_ = k.Conn.Close()
}

// toRefusal turns a failure into a refusal that says whether the call may have run.
func (k *conn) toRefusal(ctx context.Context, err error) error {
	if k.sent.Load() == 0 {
		return refusal.NewNotRun(503, "upstream-unreachable", err.Error())
	}
	var n interface{ Timeout() bool }
	switch {
	case ctx.Err() != nil:
		return refusal.NewMayHaveRun(504, "cancelled", "the call was cancelled while it ran")
	case errors.As(err, &n) && n.Timeout():
		return refusal.NewMayHaveRun(504, "upstream-timeout", "the upstream did not answer in time")
	default:
		return refusal.NewMayHaveRun(502, "upstream-lost", "the upstream's answer was lost: "+err.Error())
	}
}
