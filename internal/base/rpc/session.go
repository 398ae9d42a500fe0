package rpc

import (
	"bufio"
	"context"
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"io"
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/hashicorp/yamux"
	"google.golang.org/protobuf/encoding/protodelim"

	"siskinrun/internal/base/frame"
)

const (
	nonceBytes       = 32
	handshakeTimeout = time.Second
	maxHelloBytes    = 4096
	acceptBacklog    = 1024
	// callWindow and openWindow bound the bytes of a call and of an open stream that the other side has not read yet. A host may
	// have hundreds of open streams.
	callWindow = 1 << 20
	openWindow = 256 << 10
)

func muxConfig(lane string) *yamux.Config {
	c := yamux.DefaultConfig()
	c.AcceptBacklog = acceptBacklog
	c.EnableKeepAlive = false              // pinger pings only during calls
	c.ConnectionWriteTimeout = pingTimeout // yamux also applies it to pings
	c.MaxStreamWindowSize = callWindow
	if lane == laneStreams {
		c.MaxStreamWindowSize = openWindow
	}
	c.LogOutput = io.Discard
	return c
}

// connect dials a peer and authenticates both sides with the shared secret.
func (l *Endpoint) connect(ctx context.Context, to, lane string) (*link, error) {
	a, ok := l.address(to)
	if !ok {
		return nil, errors.Newf("unknown host %s", to)
	}
	d := l.ConnectTimeout
	if d == 0 {
		d = dialTimeout
	}
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	c, err := l.dial(ctx, a)
	if err != nil {
		return nil, err
	}
	if err := setUnackedTimeout(c); err != nil {
		l.Log.Warn().Err(err).Str("peer", to).Msg("TCP_USER_TIMEOUT not set, an unresponsive session may last long")
	}
	if l.ClientTLS != nil {
		c = tls.Client(c, l.ClientTLS)
	}
	if err := l.clientHandshake(c, to, lane); err != nil {
		_ = c.Close()
		return nil, errors.Wrapf(err, "handshake with %s", to)
	}
	return newLink(c, lane, yamux.Client)
}

func (l *Endpoint) dial(ctx context.Context, address string) (net.Conn, error) {
	if l.Dial != nil {
		return l.Dial(ctx, address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// clientHandshake authenticates both sides of a dialed connection.
func (l *Endpoint) clientHandshake(c net.Conn, to, lane string) error {
	_ = c.SetDeadline(l.Timer.DeadlineIn(handshakeTimeout))
	r := byteReader{c}
	q, err := readHello(r)
	if err != nil {
		return err
	}
	if q.From != to {
		return errors.Newf("the address belongs to host %s", q.From)
	}
	h := &frame.Hello{From: l.Name, Lane: lane, Nonce: nonce()}
	h.Proof = l.proof("client", q.Nonce, h.Nonce, h.From, lane)
	if _, err := protodelim.MarshalTo(c, h); err != nil {
		return err
	}
	p, err := readHello(r)
	if err != nil {
		return err
	}
	if !hmac.Equal(p.Proof, l.proof("server", q.Nonce, h.Nonce, to, lane)) {
		return errors.New("the peer does not have the fleet's secret")
	}
	return c.SetDeadline(time.Time{})
}

// serverHandshake is the server's side of clientHandshake.
func (l *Endpoint) serverHandshake(c net.Conn) (*frame.Hello, error) {
	_ = c.SetDeadline(l.Timer.DeadlineIn(handshakeTimeout))
	q := &frame.Hello{From: l.Name, Nonce: nonce()}
	if _, err := protodelim.MarshalTo(c, q); err != nil {
		return nil, err
	}
	h, err := readHello(byteReader{c})
	if err != nil {
		return nil, err
	}
	if !hmac.Equal(h.Proof, l.proof("client", q.Nonce, h.Nonce, h.From, h.Lane)) {
		return nil, errors.New("the peer does not have the fleet's secret")
	}
	p := &frame.Hello{From: l.Name, Proof: l.proof("server", q.Nonce, h.Nonce, l.Name, h.Lane)}
	if _, err := protodelim.MarshalTo(c, p); err != nil {
		return nil, err
	}
	return h, c.SetDeadline(time.Time{})
}

// proof returns the HMAC by which a side proves that it has the secret. Each part is preceded by its length.
func (l *Endpoint) proof(side string, server, client []byte, name, lane string) []byte {
	m := hmac.New(sha256.New, l.Secret)
	for _, p := range [][]byte{[]byte(side), server, client, []byte(name), []byte(lane)} {
		m.Write([]byte{byte(len(p))})
		m.Write(p)
	}
	return m.Sum(nil)
}

func (l *Endpoint) accept(ctx context.Context) error {
	for {
		c, err := l.Listener.Accept()
		if ctx.Err() != nil {
			return ctx.Err()
		}
		if err != nil {
			return errors.Wrap(err, "accept")
		}
		if err := setUnackedTimeout(c); err != nil {
			l.Log.Warn().Err(err).Msg("TCP_USER_TIMEOUT not set, an unresponsive session may last long")
		}
		done := l.beginHandshake(c)
		l.group.Go("session", func(ctx context.Context) error {
			l.serve(ctx, c, done)
			return nil
		})
	}
}

// serve serves a connection and calls handshakeDone when its handshake has ended.
func (l *Endpoint) serve(ctx context.Context, c net.Conn, handshakeDone func()) {
	if l.ServerTLS != nil {
		c = tls.Server(c, l.ServerTLS)
	}
	h, err := l.serverHandshake(c)
	handshakeDone()
	if err != nil {
		l.logRejected(err)
		_ = c.Close()
		return
	}
	m, err := newLink(c, h.Lane, yamux.Server)
	if err != nil {
		return
	}
	l.track(m)
	defer l.untrack(m)
	var open atomic.Int64
	for {
		s, err := m.AcceptStream()
		if err != nil {
			return
		}
		full := open.Add(1) > maxStreams
		l.group.Go("stream", func(ctx context.Context) error {
			defer open.Add(-1)
			l.serveStream(ctx, h.From, s, full)
			return nil
		})
		if ctx.Err() != nil {
			return
		}
	}
}

// track notes a session of a peer for close, and ends it if that has been.
func (l *Endpoint) track(m *link) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.accepted == nil {
		l.accepted = map[*link]struct{}{}
	}
	l.accepted[m] = struct{}{}
	if l.ended.Load() {
		m.end()
	}
}

func (l *Endpoint) untrack(m *link) {
	m.end()
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.accepted, m)
}

func nonce() []byte {
	b := make([]byte, nonceBytes)
	_, _ = rand.Read(b)
	return b
}

func readHello(r protodelim.Reader) (*frame.Hello, error) {
	h := &frame.Hello{}
	o := protodelim.UnmarshalOptions{MaxSize: maxHelloBytes}
	if err := o.UnmarshalFrom(r, h); err != nil {
		return nil, errors.Wrap(err, "read hello")
	}
	return h, nil
}

// byteReader reads without a buffer, so that it takes no bytes of the session that follows the handshake.
type byteReader struct {
	io.Reader
}

// ReadByte implements io.ByteReader.ReadByte.
func (r byteReader) ReadByte() (byte, error) {
	var b [1]byte
	_, err := io.ReadFull(r.Reader, b[:])
	return b[0], err
}

func buffered(r io.Reader) protodelim.Reader {
	return bufio.NewReader(r)
}
