package serve

import (
	"context"
	"net"
	"time"

	"siskinrun/internal/base/group"
)

// reachInterval is how often the host probes unreachable upstreams by a connection, which needs no caller's request.
const reachInterval = 300 * time.Millisecond

// reach marks unreachable upstreams as reachable once a connection to them succeeds, until ctx ends.
func (p *parts) reach(ctx context.Context) error {
	for {
		if err := p.serveHost.timer.Sleep(ctx, reachInterval); err != nil {
			return err
		}
		g := group.NewGroup(ctx)
		for _, u := range p.choose.Unreachable() {
			g.Go("connect", func(ctx context.Context) error {
				d := net.Dialer{Timeout: p.serveHost.Settings.Limits.ConnectTimeout.Duration()}
				c, err := d.DialContext(ctx, "tcp", u.Address)
				if err != nil {
					return nil // the next pass tries again
				}
				p.choose.MarkReachable(u.Name)
				p.serveHost.Log.Info().Str("upstream", u.Name).Msg("upstream reached again")
				return c.Close()
			})
		}
		if err := g.Wait(); err != nil {
			p.serveHost.Log.Debug().Err(err).Msg("connection not closed")
		}
	}
}
