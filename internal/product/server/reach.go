package server

import (
	"context"
	"net"
	"time"

	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/base/group"
	"siskinrun/internal/data/upstream"
)

// probeInterval is how often the host probes unreachable upstreams by a connection, which needs no caller's request.
const probeInterval = 300 * time.Millisecond

// probeUnreachable marks unreachable upstreams as reachable once a connection to them succeeds, until ctx ends.
func (p *components) probeUnreachable(ctx context.Context) error {
	var lost map[string]bool
	for {
		if err := p.server.timer.Sleep(ctx, probeInterval); err != nil {
			return err
		}
		l := p.picker.Unreachable()
		lost = p.logUnreachable(l, lost)
		g := group.NewGroup(ctx)
		for _, u := range l {
			g.Go("connect", func(ctx context.Context) error {
				c, err := p.dialUpstream(ctx, u.Address)
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

// dialUpstream opens a connection to the address of an upstream within the timeout of the settings.
func (p *components) dialUpstream(ctx context.Context, address string) (net.Conn, error) {
	ctx, cancel := context.WithTimeout(ctx, p.server.Settings.Limits.ConnectTimeout.Duration())
	defer cancel()
	if p.server.DialUpstream != nil {
		return p.server.DialUpstream(ctx, address)
	}
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address)
}

// logUnreachable logs the upstreams that are unreachable now and were not before, and returns all that are.
func (p *components) logUnreachable(l []upstream.Upstream, before map[string]bool) map[string]bool {
	now := make(map[string]bool, len(l))
	for _, u := range l {
		now[u.Name] = true
		if before[u.Name] {
			continue
		}
		p.server.Log.Warn().
			Str("upstream", u.Name).
			Str("service", u.Service).
			Int("unreachable", len(l)).
			Int("known", len(p.gossip.Upstreams())).
			Msg("upstream out of reach")
	}
	metrics.GetOrRegisterGauge("upstreams.unreachable", p.server.metrics).Update(int64(len(l)))
	return now
}
