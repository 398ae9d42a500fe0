package ingress_test

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/wire/ingress"
)

// serve runs a server during the test and returns a connection to it and a function that stops it.
func serve(t *testing.T, s *ingress.Server) (caller net.Conn, stop func()) {
	t.Helper()
	is := is.New(t)
	l, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	s.Listener, s.Timer, s.Log = l, timer.NewService(), zerolog.Nop()
	g := group.NewGroup(t.Context())
	g.Go("timer", s.Timer.Run)
	ctx, stop := context.WithCancel(t.Context())
	t.Cleanup(stop)
	g.Go("server", func(context.Context) error { return s.Run(ctx) })
	caller, err = net.Dial("tcp", l.Addr().String())
	is.NoErr(err)
	t.Cleanup(func() { _ = caller.Close() })
	return caller, stop
}
