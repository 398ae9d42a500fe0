package serve

import (
	"context"
	"net"
	"time"

	"siskinrun/internal/base/group"
)

// reachInterval is how often connections to unreachable upstreams are tried, without a caller's request.
const reachInterval = 300 * time.Millisecond

// reach gives upstreams work again to which connections come about again.
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
					return nil // tried again after the interval
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
