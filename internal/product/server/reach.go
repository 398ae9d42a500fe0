package server

import (
	"context"
	"net"
	"time"

	"siskinrun/internal/base/group"
)

// probeInterval is how often the host probes unreachable upstreams by a connection, which needs no caller's request.
const probeInterval = 300 * time.Millisecond

// probeUnreachable marks unreachable upstreams as reachable once a connection to them succeeds, until ctx ends.
func (p *components) probeUnreachable(ctx context.Context) error {
	for {
		if err := p.server.timer.Sleep(ctx, probeInterval); err != nil {
			return err
		}
		g := group.NewGroup(ctx)
		for _, u := range p.picker.Unreachable() {
			g.Go("connect", func(ctx context.Context) error {
				d := net.Dialer{Timeout: p.server.Settings.Limits.ConnectTimeout.Duration()}
				c, err := d.DialContext(ctx, "tcp", u.Address)
				if err != nil {
					return nil // the next pass tries again
				}
				p.picker.MarkReachable(u.Name)
				p.server.Log.Info().Str("upstream", u.Name).Msg("upstream reached again")
				return c.Close()
			})
		}
		if err := g.Wait(); err != nil {
			p.server.Log.Debug().Err(err).Msg("connection not closed")
		}
	}
}
