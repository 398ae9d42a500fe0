package listener_test

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/wire/listener"
)

// openConnection returns a listener with one connection, the caller's end of it and the accepted one.
func openConnection(t *testing.T, m *timer.Service) (l *listener.Listener, caller, accepted net.Conn) {
	t.Helper()
	is := is.New(t)
	in, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l = &listener.Listener{Listener: in, Timer: m}
	caller, err = net.Dial("tcp", in.Addr().String())
	is.NoErr(err)
	accepted, err = l.Accept()
	is.NoErr(err)
	return l, caller, accepted
}

// begunRequest returns an open connection on which the first byte of a request has been read.
func begunRequest(t *testing.T, m *timer.Service) (l *listener.Listener, caller, accepted net.Conn) {
	t.Helper()
	is := is.New(t)
	l, caller, accepted = openConnection(t, m)
	_, err := caller.Write([]byte("a"))
	is.NoErr(err)
	n, err := accepted.Read(make([]byte, 1))
	is.NoErr(err)
	is.Equal(n, 1)
	return l, caller, accepted
}

// TestRequestArrivingDuringIdleCloseIsNotRead guards against a request that arrives on a connection already chosen for
// closing: the server must not read it, since the close would cut off its answer.
func TestRequestArrivingDuringIdleCloseIsNotRead(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual(time.Unix(1000, 0))
	l, c, s := begunRequest(t, m)
	_, err := c.Write([]byte("b"))
	is.NoErr(err)
	m.Advance(3 * time.Second)
	l.CloseIdle(2*time.Second, 2*time.Second)
	n, err := s.Read(make([]byte, 1))
	is.True(n == 0 && err != nil)
	is.Equal(l.OpenConns(), 0)
}

// TestBusyConnectionsStayOpen guards against CloseIdle closing a connection whose call takes longer than the idle time.
func TestBusyConnectionsStayOpen(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual(time.Unix(1000, 0))
	l, _, s := openConnection(t, m)
	done := l.MarkBusy(s)
	m.Advance(time.Minute)
	l.CloseIdle(2*time.Second, 2*time.Second)
	is.Equal(l.OpenConns(), 1)
	done()
	l.CloseIdle(2*time.Second, 2*time.Second)
	is.Equal(l.OpenConns(), 1) // the end of the call restarts the idle time
}

// TestStopAcceptingKeepsServerRunning guards against a server that stops when new connections are refused: Accept must
// block until Close, so that open connections are still served.
func TestStopAcceptingKeepsServerRunning(t *testing.T) {
	is := is.New(t)
	in, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	l := &listener.Listener{Listener: in, Timer: timer.NewManual(time.Unix(1000, 0))}
	ended := make(chan error, 1)
	g := group.NewGroup(t.Context())
	g.Go("serve", func(context.Context) error {
		_, err := l.Accept()
		ended <- err
		return nil
	})
	is.NoErr(l.StopAccepting())
	_, err = net.Dial("tcp", in.Addr().String())
	is.True(err != nil)
	is.Equal(len(ended), 0)
	_ = l.Close()
	is.True(<-ended != nil)
	is.NoErr(g.Wait())
}

// TestRequestUnderWayIsNotIdle guards against a close inside a request that comes slowly.
func TestRequestUnderWayIsNotIdle(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual(time.Unix(1000, 0))
	l, _, s := begunRequest(t, m)
	m.Advance(2 * time.Second)
	l.CloseIdle(time.Second, 3*time.Second)
	is.Equal(l.OpenConns(), 1)
	l.MarkBusy(s)() // the request was served
	m.Advance(2 * time.Second)
	l.CloseIdle(time.Second, 3*time.Second)
	is.Equal(l.OpenConns(), 0)
}

// TestStalledRequestIsClosed guards against a stop that waits for a request without end.
func TestStalledRequestIsClosed(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual(time.Unix(1000, 0))
	l, _, _ := begunRequest(t, m)
	m.Advance(3 * time.Second)
	l.CloseIdle(time.Second, 3*time.Second)
	is.Equal(l.OpenConns(), 0)
}
