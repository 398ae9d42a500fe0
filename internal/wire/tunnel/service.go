package tunnel

import (
	"context"
	"io"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rcrowley/go-metrics"
	"google.golang.org/protobuf/proto"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/tcpend"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/wire/tunnelmessage"
	"siskinrun/pkg/refusal"
)

const (
	methodOpen = "tunnel/open"
	// maxServed is the most tunnels that a host serves.
	maxServed = 512
	// drainPollInterval is how often a stopping host looks whether its tunnels have ended.
	drainPollInterval = 50 * time.Millisecond
)

// link opens and accepts streams between hosts.
type link interface {
	HandleStream(method string, h rpc.StreamHandler)
	Open(ctx context.Context, to, method string, body []byte) (net.Conn, error)
}

// Service opens tunnels through other hosts and serves theirs.
type Service struct {
	// Link carries the tunnels.
	Link link
	// Upstream returns an upstream that takes calls, by its name.
	Upstream func(name string) (upstream.Upstream, bool)
	// Dial connects this host itself to an upstream.
	Dial func(ctx context.Context, u upstream.Upstream) (net.Conn, error)
	// Timer is the clock.
	Timer *timer.Service
	// Metrics counts tunnels.
	Metrics metrics.Registry

	open     atomic.Int64
	draining atomic.Bool
	buffers  sync.Pool
}

// Register registers the handler of tunnels and must be called before the link runs.
func (s *Service) Register() {
	s.Link.HandleStream(methodOpen, s.serve)
}

// Open connects to an upstream through a gateway. Nothing has been sent to the upstream if it fails.
func (s *Service) Open(ctx context.Context, gateway string, u upstream.Upstream) (net.Conn, error) {
	b, err := proto.Marshal(&tunnelmessage.Open{Upstream: u.Name, Address: u.Address})
	if err != nil {
		return nil, refusal.NewNotRun(500, "malformed-tunnel", err.Error())
	}
	c, err := s.Link.Open(ctx, gateway, methodOpen, b)
	if err != nil {
		return nil, err
	}
	s.count("opened")
	return &conn{Conn: c}, nil
}

// Serving returns the number of tunnels that this host serves.
func (s *Service) Serving() int {
	return int(s.open.Load())
}

// Full reports whether this host takes no more tunnels.
func (s *Service) Full() bool {
	return s.open.Load() >= maxServed || s.draining.Load()
}

// Drain refuses new tunnels and waits until those that are open have ended, or ctx has.
func (s *Service) Drain(ctx context.Context) {
	s.draining.Store(true)
	for s.open.Load() > 0 && s.Timer.Sleep(ctx, drainPollInterval) == nil {
	}
}

// serve connects to the upstream that a peer asks for and copies the bytes of both sides.
func (s *Service) serve(ctx context.Context, _ string, body []byte, open func() (net.Conn, error)) error {
	defer s.open.Add(-1)
	if s.open.Add(1) > maxServed || s.draining.Load() {
		s.count("refused")
		return refusal.NewNotRun(503, "tunnels-full", "this host serves as many tunnels as it can")
	}
	m := &tunnelmessage.Open{}
	if err := proto.Unmarshal(body, m); err != nil {
		return refusal.NewNotRun(400, "malformed-tunnel", err.Error())
	}
	u, ok := s.Upstream(m.Upstream)
	if !ok || u.Address != m.Address {
		return refusal.NewNotRun(503, "unknown-upstream", "this host knows no such upstream at this address")
	}
	up, err := s.Dial(ctx, u)
	if err != nil {
		return refusal.NewNotRun(503, "upstream-unreachable", "this host does not reach the upstream")
	}
	defer func() { _ = up.Close() }()
	down, err := open()
	if err != nil {
		return err
	}
	s.count("served")
	s.copy(ctx, up, down)
	return nil
}

// copy copies the bytes of both sides until either ends.
func (s *Service) copy(ctx context.Context, up, down net.Conn) {
	g := group.NewGroup(ctx)
	to := &sender{Writer: up}
	g.Go("requests", func(context.Context) error {
		defer func() { _ = up.Close() }()
		b := s.buffer()
		defer s.buffers.Put(b)
		_, _ = io.CopyBuffer(to, reader{down}, *b)
		_, _ = io.CopyBuffer(writer{io.Discard}, reader{down}, *b) // the host that asked may still send where the upstream reads no more
		return nil
	})
	g.Go("answers", func(context.Context) error {
		b := s.buffer()
		defer s.buffers.Put(b)
		end, err := copyAnswer(down, up, *b)
		if err != nil {
			_ = down.Close()
			return nil
		}
		if end == closed && !to.failed.Load() && tcpend.Orderly(up) {
			_ = writeClosed(down, to.written.Load())
			return nil
		}
		_ = writeBroken(down)
		return nil
	})
	_ = g.Wait()
	_ = down.Close()
}

// copyAnswer sends the bytes of the upstream until its side ends, and returns how it did. The error is that of the host that asked,
// to which nothing may be said of the upstream then.
func copyAnswer(down io.Writer, up io.Reader, b []byte) (end kind, err error) {
	for {
		n, readErr := up.Read(b[headerBytes:])
		if n > 0 {
			if err := writeData(down, b[:headerBytes+n]); err != nil {
				return 0, err
			}
		}
		if readErr == io.EOF {
			return closed, nil
		}
		if readErr != nil {
			return broken, nil
		}
	}
}

// sender writes to an upstream. It counts the bytes before they are written, as the answer to them may come at once, and notes that
// it failed: the system reports a reset only once, and then to no reader.
type sender struct {
	io.Writer
	written atomic.Uint32
	failed  atomic.Bool
}

// Write implements io.Writer.Write.
func (s *sender) Write(b []byte) (int, error) {
	s.written.Add(uint32(len(b)))
	n, err := s.Writer.Write(b)
	if err != nil {
		s.failed.Store(true)
	}
	return n, err
}

// reader and writer hide methods by which io.CopyBuffer would do without its buffer.
type (
	reader struct{ io.Reader }
	writer struct{ io.Writer }
)

func (s *Service) buffer() *[]byte {
	if b, ok := s.buffers.Get().(*[]byte); ok {
		return b
	}
	b := make([]byte, bufferBytes)
	return &b
}

func (s *Service) count(name string) {
	metrics.GetOrRegisterCounter(name, s.Metrics).Inc(1)
}
