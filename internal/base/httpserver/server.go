package httpserver

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/group"
)

// Server is an HTTP server on one listener.
type Server struct {
	// Server handles requests.
	Server *fasthttp.Server
	// Listener accepts connections.
	Listener net.Listener
	// StopTimeout bounds the wait for running requests at shutdown.
	StopTimeout time.Duration
}

// Run serves until ctx ends and then shuts the server down.
func (s *Server) Run(ctx context.Context) error {
	g := group.NewGroup(ctx)
	g.Go("serve", func(context.Context) error { return s.Server.Serve(s.Listener) })
	g.Go("stop", func(ctx context.Context) error {
		<-ctx.Done()
		s.stop(context.WithoutCancel(ctx))
		return ctx.Err()
	})
	return g.Wait()
}

// stop shuts the server down. It also closes the listener, which a server that has not begun to serve does not know.
func (s *Server) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, s.StopTimeout)
	defer cancel()
	_ = s.Server.ShutdownWithContext(ctx)
	_ = s.Listener.Close()
}
