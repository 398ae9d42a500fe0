package tunnel_test

import (
	"context"
	"net"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/rpc"
)

// deafLink is a connection that brings nothing once it is deaf.
type deafLink struct {
	net.Conn
	deaf atomic.Bool
	end  chan struct{}
}

func (d *deafLink) Read(b []byte) (int, error) {
	n, err := d.Conn.Read(b)
	if d.deaf.Load() {
		<-d.end
		return 0, net.ErrClosed
	}
	return n, err
}

// TestCallThatIsGivenUpEndsThoughItsGatewayIsFrozen guards against calls that hold their slots and memory until their deadline
// after their callers have gone, since a closed stream between hosts still waits for its peer.
func TestCallThatIsGivenUpEndsThoughItsGatewayIsFrozen(t *testing.T) {
	is := is.New(t)
	f := newFixture(t)
	d := &deafLink{end: make(chan struct{})}
	f.origin.Link.(*rpc.Endpoint).Dial = func(ctx context.Context, address string) (net.Conn, error) {
		k, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
		d.Conn = k
		return d, err
	}
	defer close(d.end)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	at := f.timer.Now()
	_ = f.do(ctx, func() {
		d.deaf.Store(true)
		f.timer.After(100*time.Millisecond, func(time.Time) { cancel() })
	})
	took := f.timer.Now().Sub(at)
	t.Log(took)
	is.True(took < time.Second)
}
