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

// reusableConn returns an idle connection for a call, or nil. The upstream may just be closing it, and the call could then be lost:
// one that may not be repeated gets a connection only if it has just proved usable.
func (e *Transport) reusableConn(address string, q *call.Call) *conn {
	if e.Connector != nil && !e.Connector.Sound(q.Upstream.Name) {
		return nil
	}
	var k *conn
	switch {
	case q.RouteConfig.Repeatable:
		k = e.takeIdle(address, q.ID)
	case e.ReuseProven:
		k = e.takeProven(address, q.ID)
	}
	if k != nil && e.Reused != nil {
		e.Reused.Inc(1)
	}
	return k
}

// newConn returns a new connection for a call.
func (e *Transport) newConn(ctx context.Context, address string, q *call.Call) (*conn, error) {
	u := q.Upstream
	u.Address = address
	c, g, err := e.connect(ctx, u)
	if err != nil {
		return nil, err
	}
	if e.TLS != nil {
		if c, err = e.handshake(ctx, c); err != nil {
			return nil, err
		}
	}
	if e.Opened != nil {
		e.Opened.Inc(1)
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

// takeIdle returns an idle connection for the call with an ID, or nil. It leaves alone those that served a call with that ID.
func (e *Transport) takeIdle(address, id string) *conn {
	n := e.Timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for i, k := range slices.Backward(e.idle[address]) {
		if k.served(id) {
			continue
		}
		e.idle[address] = slices.Delete(e.idle[address], i, i+1)
		if n.Sub(k.idleSince) < e.idleTTL(k) {
			if quiet(k.Conn) {
				k.reused = true
				return k
			}
			if e.ReuseProven {
				e.noteClosedEarly(address, n)
			}
		}
		k.close()
	}
	if len(e.idle[address]) == 0 {
		delete(e.idle, address)
	}
	return nil
}

// takeProven returns an idle connection for the call with an ID whose last response ended within provenTime, or nil. It trusts no
// upstream that has closed a connection before the time for which it keeps idle ones.
func (e *Transport) takeProven(address, id string) *conn {
	n := e.Timer.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	if t, ok := e.closedEarly[address]; ok && n.Sub(t) < distrustTime {
		return nil
	}
	for i, k := range slices.Backward(e.idle[address]) {
		age := n.Sub(k.idleSince)
		if age < 0 || age >= min(provenTime, e.idleTTL(k)) {
			return nil // those before it have been idle for longer
		}
		// The end of an answer that its reader took late may have come long before.
		if k.served(id) || k.silence() >= provenTime {
			continue
		}
		e.idle[address] = slices.Delete(e.idle[address], i, i+1)
		if provenQuiet(k.Conn) {
			k.reused = true
			return k
		}
		e.noteClosedEarly(address, n)
		k.close()
		return nil
	}
	return nil
}

// distrust notes that an upstream closed or reset a connection under a call that was sent on it when it was idle.
func (e *Transport) distrust(address string) {
	if !e.ReuseProven {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.noteClosedEarly(address, e.Timer.Now())
}

// noteClosedEarly notes that an upstream closed or reset an idle connection that it should have kept; the lock is held.
func (e *Transport) noteClosedEarly(address string, now time.Time) {
	if e.closedEarly == nil {
		e.closedEarly = map[string]time.Time{}
	}
	for a, t := range e.closedEarly {
		if now.Sub(t) >= distrustTime {
			delete(e.closedEarly, a)
		}
	}
	e.closedEarly[address] = now
}

// idleTTL returns how long an idle connection may be reused, well within the keep-alive time of the upstream.
func (e *Transport) idleTTL(k *conn) time.Duration {
	if k.idleTTL > 0 {
		return min(k.idleTTL/idleTTLDivisor, e.IdleTimeout)
	}
	return e.IdleTimeout
}

// Run closes idle connections once they may not be used any more, until ctx ends.
func (e *Transport) Run(ctx context.Context) error {
	defer e.Timer.Every(idleCheckInterval, e.closeExpired)()
	<-ctx.Done()
	return ctx.Err()
}

// closeExpired closes the idle connections that may not be used any more.
func (e *Transport) closeExpired(now time.Time) {
	var expired []*conn
	e.mu.Lock()
	for a, l := range e.idle {
		l = slices.DeleteFunc(l, func(k *conn) bool {
			over := now.Sub(k.idleSince) >= e.idleTTL(k)
			if over {
				expired = append(expired, k)
			}
			return over
		})
		e.idle[a] = l
		if len(l) == 0 {
			delete(e.idle, a)
		}
	}
	e.mu.Unlock()
	for _, k := range expired {
		k.close()
	}
}

// full reports whether no further connection to an address is kept; the lock is held.
func (e *Transport) full(address string) bool {
	if len(e.idle[address]) >= maxIdleConns {
		return true
	}
	if e.MaxIdle == 0 {
		return false
	}
	n := 0
	for _, l := range e.idle {
		n += len(l)
	}
	return n >= e.MaxIdle
}

// KeepTime returns for how long an idle connection may be used, by the upstream that answered last.
func (e *Transport) KeepTime() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	return cmp.Or(e.kept, e.IdleTimeout)
}

// putIdle keeps a connection for the next call, unless a copy of its last answer could not be told from the next answer.
func (e *Transport) putIdle(k *conn) {
	if k.gateway != "" || k.anonymous || k.unnamed || k.in.Buffered() > 0 || !k.stopAbort() {
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
	if e.full(k.address) {
		k.close()
		return
	}
	if e.idle == nil {
		e.idle = map[string][]*conn{}
	}
	e.idle[k.address] = append(e.idle[k.address], k)
}
