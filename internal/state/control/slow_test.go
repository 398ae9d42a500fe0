package control_test

import (
	"context"
	"net"
	"testing"
	"time"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/ring"
	"siskinrun/internal/base/timer"
)

// oneWayLatency simulates the network latency between two failure domains.
const oneWayLatency = 1500 * time.Microsecond

var clock = timer.NewService()

// delayedWrite is data to be written later.
type delayedWrite struct {
	due  time.Time
	data []byte
}

// slowConn delays what is written.
type slowConn struct {
	net.Conn
	queue *ring.Ring[delayedWrite]
}

func newSlowConn(g *group.Group, c net.Conn) net.Conn {
	s := &slowConn{c, ring.NewRing[delayedWrite](4096)}
	g.Go("slow connection", func(ctx context.Context) error {
		for {
			p, err := s.queue.Pop(ctx)
			if err != nil {
				return nil
			}
			d, stop := context.WithDeadline(ctx, p.due)
			<-d.Done()
			stop()
			if _, err := c.Write(p.data); err != nil {
				return nil
			}
		}
	})
	return s
}

// Write implements net.Conn.Write.
func (s *slowConn) Write(b []byte) (int, error) {
	p := delayedWrite{clock.Now().Add(oneWayLatency), append([]byte(nil), b...)}
	if err := s.queue.Push(context.Background(), p); err != nil {
		return 0, err
	}
	return len(b), nil
}

// Close implements net.Conn.Close.
func (s *slowConn) Close() error {
	s.queue.Close()
	return s.Conn.Close()
}

// slowListener delays what the accepting side writes.
type slowListener struct {
	net.Listener
	group *group.Group
}

// Accept implements net.Listener.Accept.
func (l *slowListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return newSlowConn(l.group, c), nil
}

// delayLinks adds oneWayLatency to the links of hosts that start later.
func (f *fleet) delayLinks(t testing.TB) {
	ctx, cancel := context.WithCancel(context.Background())
	f.slowLinks = group.NewGroup(ctx)
	t.Cleanup(func() {
		cancel()
		_ = f.slowLinks.Wait()
	})
}

// dial opens a connection whose writes are delayed.
func (f *fleet) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	c, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return newSlowConn(f.slowLinks, c), nil
}
