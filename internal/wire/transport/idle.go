package transport

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// acquireConn returns an idle connection if the call may be repeated, or else a new one. The upstream may just be
// closing an idle connection, and the call could then be lost.
func (e *Transport) acquireConn(ctx context.Context, address string, repeatable bool) (*conn, error) {
	if repeatable {
		if k := e.takeIdle(address); k != nil {
			return k, nil
		}
	}
	d := e.ConnectTimeout
	if d == 0 {
		d = defaultConnectTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	c, err := e.dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if e.TLS != nil {
		t := tls.Client(c, e.TLS)
		if err := t.HandshakeContext(ctx); err != nil {
			_ = c.Close()
			return nil, err
		}
		c = t
	}
	return newConn(c, address), nil
}

func (e *Transport) dial(ctx context.Context, address string) (net.Conn, error) {
	if e.Dial != nil {
		return e.Dial(ctx, address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func (e *Transport) takeIdle(address string) *conn {
	n := e.Timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.idle[address]
	for len(l) > 0 {
		k := l[len(l)-1]
		l = l[:len(l)-1]
		e.idle[address] = l
		if n.Sub(k.idleSince) < e.idleTTL(k) && quiet(k.Conn) {
			k.reused = true
			return k
		}
		k.close()
	}
	delete(e.idle, address)
	return nil
}

// idleTTL returns how long an idle connection may be reused, well within the keep-alive time of the upstream.
func (e *Transport) idleTTL(k *conn) time.Duration {
	if k.idleTTL > 0 {
		return min(k.idleTTL/idleTTLDivisor, e.IdleTimeout)
	}
	return e.IdleTimeout
}

func (e *Transport) putIdle(k *conn) {
	if k.in.Buffered() > 0 || !k.stopAbort() {
		k.close()
		return
	}
	k.idleSince = e.Timer.Now()
	k.sent.Store(0)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.idle[k.address]) >= maxIdleConns {
		k.close()
		return
	}
	if e.idle == nil {
		e.idle = map[string][]*conn{}
	}
	e.idle[k.address] = append(e.idle[k.address], k)
}
