package rpc

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"siskinrun/internal/base/frame"
	"siskinrun/pkg/refusal"
)

// laneStreams is the session for streams, so that their bytes hold no call up.
const laneStreams = "streams"

// StreamHandler serves a stream that the peer named from asks for. It accepts the stream by calling open, whose connection
// ends with the handler, or returns a refusal without doing so.
type StreamHandler func(ctx context.Context, from string, body []byte, open func() (net.Conn, error)) error

// HandleStream registers the handler of the streams of a method. Call it before Run.
func (l *Endpoint) HandleStream(method string, h StreamHandler) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.streamHandlers == nil {
		l.streamHandlers = map[string]StreamHandler{}
	}
	l.streamHandlers[method] = h
}

// Open opens a stream to a peer and returns its connection once the peer's handler has accepted it; ctx bounds only that.
//
// The error is a refusal whose verdict says whether the peer may have run the handler.
func (l *Endpoint) Open(ctx context.Context, to, method string, body []byte) (net.Conn, error) {
	e := l.session(sessionKey{to, laneStreams})
	s, err := l.openStream(ctx, e, to, laneStreams)
	if err != nil {
		return nil, refusal.NewNotRun(503, "peer-unreachable", err.Error()).WithRetryAfter(time.Second)
	}
	stop := context.AfterFunc(ctx, func() { _ = s.Close() })
	c := &streamConn{Stream: s, in: buffered(s)}
	if err := c.ask(ctx, method, body); err != nil {
		stop()
		_ = s.Close()
		return nil, err
	}
	if !stop() {
		return nil, newPeerLost(ctx.Err())
	}
	c.release = l.hold(e, s.Session())
	return c, nil
}

// streamConn is the connection of an open stream.
type streamConn struct {
	*yamux.Stream

	in protodelim.Reader
	// release ends the pings that the stream needs, nil on the accepting side.
	release func()
	closed  atomic.Bool
}

// Read implements io.Reader.Read.
func (c *streamConn) Read(b []byte) (int, error) {
	if c.closed.Load() {
		return 0, net.ErrClosed
	}
	return c.in.Read(b)
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// Close implements io.Closer.Close. It ends a read that is under way, which a yamux stream leaves waiting for its peer.
func (c *streamConn) Close() error {
	c.closed.Store(true)
	_ = c.SetReadDeadline(past)
	if c.release != nil {
		c.release()
	}
	return c.Stream.Close()
}

// ask asks the peer to accept the stream.
func (c *streamConn) ask(ctx context.Context, method string, body []byte) error {
	d, _ := ctx.Deadline()
	_ = c.SetDeadline(d)
	if err := writeMessage(c.Stream, newFrame(method, body)); err != nil {
		return newPeerLost(err)
	}
	p := &frame.Reply{}
	o := protodelim.UnmarshalOptions{MaxSize: maxFrameBytes}
	if err := o.UnmarshalFrom(c.in, p); err != nil {
		return newPeerLost(err)
	}
	if p.Refusal != nil {
		return decodeRefusal(p.Refusal)
	}
	return c.SetDeadline(time.Time{})
}

// hold pings a session as long as any stream of it is open, until the returned function was called for each.
func (l *Endpoint) hold(e *session, m *yamux.Session) (release func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.held == nil || e.held.mux != m {
		e.held = l.newPinger(e, m)
	}
	p := e.held
	p.holders++
	return sync.OnceFunc(func() {
		e.mu.Lock()
		p.holders--
		last := p.holders == 0
		if last && e.held == p {
			e.held = nil
		}
		e.mu.Unlock()
		if last {
			p.stop()
		}
	})
}

// serveOpen serves a stream if its method has a stream handler, and reports whether it has.
func (l *Endpoint) serveOpen(ctx context.Context, from string, c *streamConn, f *frame.Frame) bool {
	l.mu.Lock()
	h := l.streamHandlers[f.Method]
	l.mu.Unlock()
	if h == nil {
		return false
	}
	b, err := decompress(f.Body, f.Packed)
	if err != nil {
		return true
	}
	opened := false
	err = h(ctx, from, b, func() (net.Conn, error) {
		opened = true
		_ = c.SetWriteDeadline(l.Timer.DeadlineIn(callTimeout))
		if err := writeMessage(c.Stream, &frame.Reply{}); err != nil {
			return nil, err
		}
		return c, c.SetDeadline(time.Time{})
	})
	if err != nil && !opened {
		_ = c.SetWriteDeadline(l.Timer.DeadlineIn(callTimeout))
		_ = writeMessage(c.Stream, &frame.Reply{Refusal: encodeRefusal(refusal.Of(err))})
	}
	return true
}
