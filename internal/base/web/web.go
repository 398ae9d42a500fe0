package web

import (
	"context"
	"net"
	"time"

	"github.com/valyala/fasthttp"

	"siskinrun/internal/base/group"
)

// Web is an HTTP server on one listener.
type Web struct {
	// Server answers requests.
	Server *fasthttp.Server
	// Listener takes connections.
	Listener net.Listener
	// StopTimeout bounds the wait for requests that run when the server stops.
	StopTimeout time.Duration
}

// Run serves until ctx ends.
func (w *Web) Run(ctx context.Context) error {
	g := group.NewGroup(ctx)
	g.Go("serve", func(context.Context) error { return w.Server.Serve(w.Listener) })
	g.Go("stop", func(ctx context.Context) error {
		<-ctx.Done()
		w.stop(context.WithoutCancel(ctx))
		return ctx.Err()
	})
	return g.Wait()
}

// stop closes the listener as well, since a server that has not begun to serve knows none to close.
func (w *Web) stop(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.StopTimeout)
	defer cancel()
	_ = w.Server.ShutdownWithContext(ctx)
	_ = w.Listener.Close()
}
