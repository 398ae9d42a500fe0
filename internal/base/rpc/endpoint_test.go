package rpc_test

import (
	"context"
	"io"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/base/timer"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

func newPair(t *testing.T, secretA, secretB string) (a, b *rpc.Endpoint) {
	t.Helper()
	is := is.New(t)
	m := timer.NewService()
	x, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	y, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	p := map[string]string{"a": x.Addr().String(), "b": y.Addr().String(), "c": "127.0.0.1:1"}
	a = &rpc.Endpoint{Name: "a", Listener: x, Peers: p, Secret: []byte(secretA), Timer: m, Log: zerolog.Nop()}
	b = &rpc.Endpoint{Name: "b", Listener: y, Peers: p, Secret: []byte(secretB), Timer: m, Log: zerolog.Nop()}
	return a, b
}

func run(t *testing.T, endpoints ...*rpc.Endpoint) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	g := group.NewGroup(ctx)
	for _, l := range endpoints {
		g.Go(l.Name, l.Run)
	}
	t.Cleanup(func() {
		cancel()
		_ = g.Wait()
	})
}

func TestCallsCarryAnswersAndRefusals(t *testing.T) {
	is := is.New(t)
	a, b := newPair(t, "s", "s")
	b.Handle("echo", func(_ context.Context, from string, body []byte) ([]byte, error) {
		return append([]byte(from+":"), body...), nil
	})
	b.Handle("bulk/no", func(context.Context, string, []byte) ([]byte, error) {
		return nil, refusal.NewMayHaveRun(502, "why", "because")
	})
	run(t, a, b)
	r, err := a.Call(context.Background(), "b", "echo", []byte("hello"))
	is.NoErr(err)
	is.Equal(string(r), "a:hello")
	_, err = a.Call(context.Background(), "b", "bulk/no", nil)
	f := refusal.Of(err)
	is.Equal(f.Code, "why")
	is.Equal(f.Verdict, verdict.MayHaveRun)
}

func TestUnreachablePeerHasNotRun(t *testing.T) {
	is := is.New(t)
	a, b := newPair(t, "s", "s")
	run(t, a, b)
	_, err := a.Call(context.Background(), "c", "echo", nil)
	is.Equal(refusal.Of(err).Verdict, verdict.NotRun)
	is.Equal(refusal.Of(err).Code, "peer-unreachable")
}

func TestWrongSecretIsRefused(t *testing.T) {
	is := is.New(t)
	a, b := newPair(t, "s", "other")
	run(t, a, b)
	_, err := a.Call(context.Background(), "b", "echo", nil)
	is.Equal(refusal.Of(err).Code, "peer-unreachable")
}

func TestOpenStreamsCarryBytesBothWaysAndRefusals(t *testing.T) {
	is := is.New(t)
	a, b := newPair(t, "s", "s")
	b.HandleStream("echo", func(_ context.Context, from string, body []byte, open func() (net.Conn, error)) error {
		c, err := open()
		if err != nil {
			return err
		}
		_, _ = io.WriteString(c, from+string(body))
		_, _ = io.CopyN(c, c, 3)
		return nil
	})
	b.HandleStream("full", func(context.Context, string, []byte, func() (net.Conn, error)) error {
		return refusal.NewNotRun(503, "full", "no room")
	})
	run(t, a, b)
	c, err := a.Open(context.Background(), "b", "echo", []byte("?"))
	is.NoErr(err)
	_, err = io.WriteString(c, "xyz")
	is.NoErr(err)
	got, err := io.ReadAll(c)
	is.NoErr(err)
	is.Equal(string(got), "a?xyz")
	is.NoErr(c.Close())
	_, err = a.Open(context.Background(), "b", "full", nil)
	is.Equal(refusal.Of(err).Code, "full")
	is.Equal(refusal.Of(err).Verdict, verdict.NotRun)
	_, err = a.Open(context.Background(), "b", "none", nil)
	is.Equal(refusal.Of(err).Code, "unknown-method")
}

func TestStreamEndsWhenItsPeerIsClosed(t *testing.T) {
	is := is.New(t)
	a, b := newPair(t, "s", "s")
	closed := make(chan struct{})
	b.HandleStream("hold", func(_ context.Context, _ string, _ []byte, open func() (net.Conn, error)) error {
		c, err := open()
		if err != nil {
			return err
		}
		defer close(closed)
		_, err = io.Copy(io.Discard, c)
		return err
	})
	run(t, a, b)
	c, err := a.Open(context.Background(), "b", "hold", nil)
	is.NoErr(err)
	is.NoErr(c.Close())
	<-closed
}
