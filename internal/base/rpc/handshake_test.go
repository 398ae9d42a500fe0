package rpc_test

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// countingListener counts the open connections that it accepted.
type countingListener struct {
	net.Listener
	open, accepted, peak atomic.Int64
}

func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.accepted.Add(1)
	l.peak.Store(max(l.peak.Load(), l.open.Add(1)))
	return &countedConn{Conn: c, listener: l}, nil
}

type countedConn struct {
	net.Conn
	listener *countingListener
	closed   atomic.Bool
}

func (c *countedConn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

// TestConnectionsThatProveNothingAreFew guards against a port scanner that takes the descriptors and the memory of a host, or
// keeps peers out.
func TestConnectionsThatProveNothingAreFew(t *testing.T) {
	const scanners, most = 600, 256
	is := is.New(t)
	a, b := newPair(t, "s", "s")
	l := &countingListener{Listener: b.Listener}
	b.Listener = l
	b.Handle("echo", func(_ context.Context, _ string, body []byte) ([]byte, error) { return body, nil })
	run(t, a, b)
	var q []net.Conn
	for range scanners {
		c, err := net.Dial("tcp", l.Addr().String())
		is.NoErr(err)
		q = append(q, c)
	}
	defer func() {
		for _, c := range q {
			_ = c.Close()
		}
	}()
	_, err := a.Call(context.Background(), "b", "echo", []byte("x"))
	is.NoErr(err)
	_, err = io.Copy(io.Discard, q[scanners-1]) // until the host closes the last one
	is.NoErr(err)
	is.Equal(l.accepted.Load(), int64(scanners+1))
	is.True(l.peak.Load() <= most+2) // one that was accepted and not counted yet, and the peer
}

// TestStreamsOfAPeerAreBounded guards against a peer whose streams take the memory of a host, and against calls beyond the bound
// that are not refused as not executed.
func TestStreamsOfAPeerAreBounded(t *testing.T) {
	const most = 2048
	is := is.New(t)
	a, b := newPair(t, "s", "s")
	var served atomic.Int64
	b.HandleStream("hold", func(ctx context.Context, _ string, _ []byte, open func() (net.Conn, error)) error {
		served.Add(1)
		c, err := open()
		if err != nil {
			return err
		}
		_, err = io.Copy(io.Discard, c)
		return err
	})
	run(t, a, b)
	var q []net.Conn
	for range most {
		c, err := a.Open(context.Background(), "b", "hold", nil)
		is.NoErr(err)
		q = append(q, c)
	}
	_, err := a.Open(context.Background(), "b", "hold", nil)
	is.True(err != nil)
	is.Equal(refusal.Of(err).Code, "too-many-streams")
	is.Equal(refusal.Of(err).Verdict, verdict.NotRun)
	is.Equal(served.Load(), int64(most))
	for _, c := range q {
		is.NoErr(c.Close())
	}
}
