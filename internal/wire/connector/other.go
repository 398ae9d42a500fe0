package connector

import (
	"context"
	"net"
	"sync"

	"siskinrun/internal/data/upstream"
)

// other is a connection through a gateway that is tried beside a direct one.
type other struct {
	connector *Connector
	upstream  upstream.Upstream
	// came is called once the connection has come about.
	came func()
	// ended is closed once it has come about or failed.
	ended chan struct{}

	mu        sync.Mutex
	started   bool
	abandoned bool
	stop      context.CancelFunc
	conn      net.Conn
	gateway   string
	err       error
}

// start tries the connection unless it is being tried or no longer wanted.
func (o *other) start(ctx context.Context) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.started || o.abandoned {
		return
	}
	o.started = true
	ctx, o.stop = context.WithCancel(ctx)
	c := o.connector
	c.Table.Doubt(o.upstream.Name, c.Timer.Now())
	c.Group.Go("connect", func(context.Context) error {
		o.end(c.connectThrough(ctx, o.upstream))
		return nil
	})
}

// end records the outcome, and closes a connection that is no longer wanted.
func (o *other) end(k net.Conn, gateway string, err error) {
	o.mu.Lock()
	defer o.mu.Unlock()
	defer close(o.ended)
	if o.abandoned && k != nil {
		_ = k.Close()
		return
	}
	o.conn, o.gateway, o.err = k, gateway, err
	if err == nil {
		o.came()
	}
}

// abandon ends the attempt, since the connection is no longer wanted.
func (o *other) abandon() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.abandoned = true
	if o.stop != nil {
		o.stop()
	}
	if o.conn != nil {
		_ = o.conn.Close()
	}
}

// wait returns the connection once it has come about.
func (o *other) wait(ctx context.Context) (net.Conn, string, error) {
	select {
	case <-o.ended:
	case <-ctx.Done():
		o.abandon()
		return nil, "", ctx.Err()
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	o.stop()
	return o.conn, o.gateway, o.err
}
