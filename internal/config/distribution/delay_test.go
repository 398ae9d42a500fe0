package distribution_test

import (
	"context"
	"net"
	"time"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/ring"
	"siskinrun/internal/base/timer"
)

// packet is a chunk of bytes in transit.
type packet struct {
	due  time.Time
	body []byte
}

// delayedDialer opens connections that delay bytes by oneWayDelay in each direction.
type delayedDialer struct {
	timer *timer.Service
	group *group.Group
}

func (s *delayedDialer) dial(ctx context.Context, address string) (net.Conn, error) {
	var d net.Dialer
	far, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	near, inner := net.Pipe()
	s.forward(inner, far)
	s.forward(far, inner)
	return near, nil
}

func (s *delayedDialer) forward(from, to net.Conn) {
	r := ring.NewRing[packet](1024)
	s.group.Go("read", func(ctx context.Context) error {
		defer r.Close()
		for {
			b := make([]byte, chunkBytes)
			n, err := from.Read(b)
			if err != nil || r.Push(ctx, packet{s.timer.Now().Add(oneWayDelay), b[:n]}) != nil {
				return nil
			}
		}
	})
	s.group.Go("write", func(ctx context.Context) error {
		defer func() { _, _ = to.Close(), from.Close() }()
		for {
			p, err := r.Pop(ctx)
			if err != nil || s.timer.Sleep(ctx, p.due.Sub(s.timer.Now())) != nil {
				return nil
			}
			if _, err := to.Write(p.body); err != nil {
				return nil
			}
		}
	})
}
