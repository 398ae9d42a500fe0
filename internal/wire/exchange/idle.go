package exchange

import (
	"context"
	"crypto/tls"
	"net"
	"time"
)

// connection returns an idle connection for calls that may be repeated, or else a new one.
func (e *Exchange) connection(ctx context.Context, address string, repeatable bool) (*conn, error) {
	if repeatable {
		if k := e.take(address); k != nil {
			return k, nil
		}
	}
	d := e.ConnectTimeout
	if d == 0 {
		d = dialTimeout
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

func (e *Exchange) dial(ctx context.Context, address string) (net.Conn, error) {
	if e.Dial != nil {
		return e.Dial(ctx, address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

func (e *Exchange) take(address string) *conn {
	n := e.Timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	l := e.idle[address]
	for len(l) > 0 {
		k := l[len(l)-1]
		l = l[:len(l)-1]
		e.idle[address] = l
		if n.Sub(k.since) < e.life(k) {
			k.reused = true
			return k
		}
		k.close()
	}
	delete(e.idle, address)
	return nil
}

// life returns how long a connection may be idle, well inside the time that the upstream names.
func (e *Exchange) life(k *conn) time.Duration {
	if k.life > 0 {
		return min(k.life/idleShare, e.IdleAge)
	}
	return e.IdleAge
}

func (e *Exchange) put(k *conn) {
	if k.in.Buffered() > 0 || !k.stop() {
		k.close()
		return
	}
	k.since = e.Timer.Now()
	k.sent.Store(0)
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.idle[k.address]) >= maxIdle {
		k.close()
		return
	}
	if e.idle == nil {
		e.idle = map[string][]*conn{}
	}
	e.idle[k.address] = append(e.idle[k.address], k)
}
