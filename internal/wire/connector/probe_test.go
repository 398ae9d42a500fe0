package connector_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/matryer/is"
)

// brokenConn is a connection that is reset before it is closed.
type brokenConn struct {
	net.Conn
}

// Close implements net.Conn.Close.
func (b brokenConn) Close() error {
	return errors.CombineErrors(b.Conn.Close(), net.ErrClosed)
}

// TestProbeThatIsResetEndsNoHost guards against a host that ends because a connection by which it tried a lost path broke.
func TestProbeThatIsResetEndsNoHost(t *testing.T) {
	is := is.New(t)
	f := newFleet(t, 1, 1)
	p := f.peers["h0"]
	p.Dialer = func(ctx context.Context, address string) (net.Conn, error) {
		c, err := p.dial(ctx, address)
		if err != nil {
			return nil, err
		}
		return brokenConn{c}, nil
	}
	p.setCut("refuse")
	_, _, err := p.try(t, f.upstreams[0])
	is.True(err != nil)
	p.setCut("")
	for end := f.timer.Now().Add(time.Second); !p.Direct("u0") && f.timer.Now().Before(end); {
		is.NoErr(f.timer.Sleep(f.group.Context(), time.Millisecond))
	}
	is.True(p.Direct("u0"))
	is.NoErr(f.timer.Sleep(f.group.Context(), soon))
}
