package transport

import (
	"cmp"
	"context"
	"crypto/tls"
	"net"
	"slices"
	"time"

	"siskinrun/internal/data/call"
	"siskinrun/internal/data/upstream"
)

// acquireConn returns an idle connection if the call may be repeated, or else a new one. The upstream may just be
// closing an idle connection, and the call could then be lost.
func (e *Transport) acquireConn(ctx context.Context, address string, q *call.Call) (*conn, error) {
	u := q.Upstream
	u.Address = address
	if q.RouteConfig.Repeatable && (e.Connector == nil || e.Connector.Sound(u.Name)) {
		if k := e.takeIdle(address, q.ID); k != nil {
			return k, nil
		}
	}
	c, g, err := e.connect(ctx, u)
	if err != nil {
		return nil, err
	}
	if e.TLS != nil {
		if c, err = e.handshake(ctx, c); err != nil {
			return nil, err
		}
	}
	k := newConn(c, address)
	k.gateway = g
	q.Record.Gateway = g
	return k, nil
}

func (e *Transport) connectTimeout() time.Duration {
	return cmp.Or(e.ConnectTimeout, defaultConnectTimeout)
}

// connect opens a connection and returns the gateway that carries it, empty for none.
func (e *Transport) connect(ctx context.Context, u upstream.Upstream) (net.Conn, string, error) {
	if e.Connector != nil {
		return e.Connector.Connect(ctx, u)
	}
	d := net.Dialer{Timeout: e.connectTimeout()}
	c, err := d.DialContext(ctx, "tcp", u.Address)
	return c, "", err
}

// handshake returns the TLS connection over c, and closes c if it does not come about.
func (e *Transport) handshake(ctx context.Context, c net.Conn) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, e.connectTimeout())
	defer cancel()
	t := tls.Client(c, e.TLS)
	if err := t.HandshakeContext(ctx); err != nil {
		_ = c.Close()
		return nil, err
	}
	return t, nil
}

// takeIdle returns an idle connection for the call with an ID, or nil. It leaves alone one that answered a call with that ID
// last: a late copy of that answer could not be told from the next.
func (e *Transport) takeIdle(address, id string) *conn {
	n := e.Timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, k := range slices.Backward(e.idle[address]) {
		if k.answered == id {
			continue
		}
		e.idle[address] = slices.Delete(e.idle[address], i, i+1)
		if n.Sub(k.idleSince) < e.idleTTL(k) && quiet(k.Conn) {
			return k
		}
		k.close()
	}
	if len(e.idle[address]) == 0 {
		delete(e.idle, address)
	}
	return nil
}

// idleTTL returns how long an idle connection may be reused, well within the keep-alive time of the upstream.
func (e *Transport) idleTTL(k *conn) time.Duration {
	if k.idleTTL > 0 {
		return min(k.idleTTL/idleTTLDivisor, e.IdleTimeout)
	}
	return e.IdleTimeout
}

// KeepTime returns for how long an idle connection may be used, by the upstream that answered last.
func (e *Transport) KeepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return cmp.Or(e.kept, e.IdleTimeout)
}

// putIdle keeps a connection for the next call, unless a late copy of its last answer could not be told from the next answer.
func (e *Transport) putIdle(k *conn) {
	if k.gateway != "" || k.anonymous || k.in.Buffered() > 0 || !k.stopAbort() {
		k.close()
		return
	}
	k.ended()
	k.ended = nil
	k.idleSince = e.Timer.Now()
	k.sent.Store(0)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kept = e.idleTTL(k)
	if len(e.idle[k.address]) >= maxIdleConns {
		k.close()
		return
	}
	if e.idle == nil {
		e.idle = map[string][]*conn{}
	}
	e.idle[k.address] = append(e.idle[k.address], k)
}
