package transport_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/wire/transport"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// provenCaller sends calls that may not be repeated to an upstream.
type provenCaller struct {
	transport *transport.Transport
	address   string
	sent      int
	// accepted are the connections that the upstream has accepted.
	accepted atomic.Int32
}

// newProvenCaller starts an upstream that answers each request with the given header lines and then calls after.
func newProvenCaller(t *testing.T, headers string, after func(k net.Conn, request int)) *provenCaller {
	c := &provenCaller{}
	c.address = startUpstream(t, func(k net.Conn, in *bufio.Reader) {
		c.accepted.Add(1)
		for n := 1; readRequest(in); n++ {
			_, _ = io.WriteString(k, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+headers+"\r\nok")
			if after != nil {
				after(k, n)
			}
		}
	})
	c.transport = &transport.Transport{
		Timer: timer.NewService(), BodyReadTimeout: time.Second, IdleTimeout: 5 * time.Second, ReuseProven: true,
	}
	t.Cleanup(c.transport.Close)
	return c
}

func (c *provenCaller) send(t *testing.T, repeatable bool) error {
	c.sent++
	q := &call.Call{ID: fmt.Sprint("c", c.sent), Method: "POST", Path: "/", Deadline: c.transport.Timer.Now().Add(2 * time.Second)}
	q.RouteConfig.Repeatable = repeatable
	r, err := c.transport.Do(t.Context(), c.address, q)
	if err != nil {
		return err
	}
	_, err = io.ReadAll(r.Body)
	return err
}

// TestCallsThatMayNotBeRepeatedUseProvenConnections guards against a new connection for each call that may not be repeated, against
// the use of one that has been idle for longer than the proof holds, and against any such use without the setting.
func TestCallsThatMayNotBeRepeatedUseProvenConnections(t *testing.T) {
	is := is.New(t)
	c := newProvenCaller(t, "", nil)
	for range 3 {
		is.NoErr(c.send(t, false))
	}
	is.Equal(c.accepted.Load(), int32(1))
	time.Sleep(250 * time.Millisecond)
	is.NoErr(c.send(t, false))
	is.Equal(c.accepted.Load(), int32(2))
	c.transport.ReuseProven = false
	is.NoErr(c.send(t, false))
	is.Equal(c.accepted.Load(), int32(3))
}

// TestConnectionsAreNoLongerUsedWhenTheUpstreamClosesThem guards against calls that are lost on a connection that the upstream closes
// at its idle timeout or with its answer.
func TestConnectionsAreNoLongerUsedWhenTheUpstreamClosesThem(t *testing.T) {
	for _, c := range []struct {
		name    string
		headers string
		idle    time.Duration
		// least is the least number of connections.
		least int32
	}{{"at the idle timeout", "Keep-Alive: timeout=1\r\n", time.Second, 4}, {"announced", "Connection: close\r\n", 0, 7}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := newProvenCaller(t, c.headers, func(k net.Conn, _ int) { _ = k.SetReadDeadline(time.Now().Add(c.idle)) })
			for _, idle := range []time.Duration{0, 100, 180, 220, 500, 980, 1020} {
				is.NoErr(p.send(t, false))
				time.Sleep(min(idle*time.Millisecond, max(c.idle, 10*time.Millisecond)+20*time.Millisecond))
			}
			is.True(p.accepted.Load() >= c.least)
		})
	}
}

// TestUpstreamsThatCloseEarlyAreNotTrusted guards against a second call that may not be repeated on an idle connection of an upstream
// that has closed one before its time, and against another verdict of the first one.
func TestUpstreamsThatCloseEarlyAreNotTrusted(t *testing.T) {
	t.Run("seen idle", func(t *testing.T) {
		is := is.New(t)
		closed := make(chan bool, 1)
		var first atomic.Bool
		c := newProvenCaller(t, "", func(k net.Conn, _ int) {
			if !first.Swap(true) {
				time.Sleep(20 * time.Millisecond) // the answer has been read
				_ = k.Close()
				closed <- true
			}
		})
		is.NoErr(c.send(t, false))
		<-closed
		is.NoErr(c.send(t, true))
		is.NoErr(c.send(t, false))
		is.NoErr(c.send(t, false))
		is.Equal(c.accepted.Load(), int32(4))
	})
	t.Run("under a call", func(t *testing.T) {
		is := is.New(t)
		var broken atomic.Bool
		c := newProvenCaller(t, "", func(k net.Conn, n int) {
			if n == 1 && !broken.Swap(true) {
				_, _ = k.Read(make([]byte, 1)) // the second request has come
				_ = k.Close()
			}
		})
		is.NoErr(c.send(t, false))
		is.Equal(refusal.Of(c.send(t, false)).Verdict, verdict.MayHaveRun)
		is.NoErr(c.send(t, false))
		is.NoErr(c.send(t, false))
		is.Equal(c.accepted.Load(), int32(3)) // a connection for each call since
	})
}

// failingConn is a connection whose writes fail after the first, with some bytes written.
type failingConn struct {
	*net.TCPConn
	writes  int
	written int
}

// Write implements net.Conn.Write.
func (f *failingConn) Write(b []byte) (int, error) {
	if f.writes++; f.writes == 1 {
		return f.TCPConn.Write(b)
	}
	n, _ := f.TCPConn.Write(b[:f.written])
	return n, syscall.EPIPE
}

// failingConnector makes the first connection a failing one.
type failingConnector struct {
	written int
	opened  int
}

// Sound reports that idle connections may be used.
func (f *failingConnector) Sound(string) bool { return true }

// Connect opens a connection.
func (f *failingConnector) Connect(ctx context.Context, u upstream.Upstream) (net.Conn, string, error) {
	c, err := new(net.Dialer).DialContext(ctx, "tcp", u.Address)
	if f.opened++; err != nil || f.opened > 1 {
		return c, "", err
	}
	return &failingConn{TCPConn: c.(*net.TCPConn), written: f.written}, "", nil
}

// TestCallsThatWereNotSentGetANewConnection guards against calls that are refused since their idle connection was closed before a byte
// was sent, and against calls that are sent again after some were.
func TestCallsThatWereNotSentGetANewConnection(t *testing.T) {
	is := is.New(t)
	for _, written := range []int{0, 3} {
		c := newProvenCaller(t, "", nil)
		f := &failingConnector{written: written}
		c.transport.Connector = f
		is.NoErr(c.send(t, false))
		err := c.send(t, false)
		if written == 0 {
			is.NoErr(err)
			is.Equal(f.opened, 2)
			continue
		}
		is.Equal(refusal.Of(err).Verdict, verdict.MayHaveRun)
		is.Equal(f.opened, 1)
	}
}
