package server

import (
	"context"
	"time"

	"siskinrun/internal/base/group"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/wire/connector"
	"siskinrun/internal/wire/transport"
	"siskinrun/internal/wire/tunnel"
)

// buildConnector creates what connects this host to upstreams, by itself and through other hosts.
func (p *components) buildConnector(g *group.Group, x *transport.Transport) {
	s := p.server
	p.connector = &connector.Connector{
		Table:          p.paths,
		Link:           p.link,
		Busy:           func() int { return p.inflight.Total() + p.tunnels.Serving() },
		Picker:         p.picker,
		Connections:    x,
		Hosts:          p.gatewayHosts,
		Upstream:       p.upstream,
		Dialer:         s.DialUpstream,
		ConnectTimeout: s.Settings.Limits.ConnectTimeout.Duration(),
		Group:          g,
		Timer:          s.timer,
		Log:            s.Log,
		Metrics:        p.childMetrics("paths"),
	}
	p.tunnels = &tunnel.Service{
		Link:     p.link,
		Upstream: p.upstream,
		Dial:     p.connector.DialForPeer,
		Timer:    s.timer,
		Metrics:  p.childMetrics("tunnels"),
	}
	p.connector.Tunnels = p.tunnels
	p.connector.Register()
	p.tunnels.Register()
	x.Connector = p.connector
}

// drainTunnels lets the tunnels of other hosts end, for as long as this host may wait for calls since it was told to stop.
func (p *components) drainTunnels(ctx context.Context, stopped time.Time) {
	if _, d := p.server.Settings.Fleet.Stop(); d > 0 {
		c, cancel := context.WithTimeout(ctx, d-p.server.timer.Now().Sub(stopped))
		defer cancel()
		ctx = c
	}
	p.tunnels.Drain(ctx)
}

// upstream returns an upstream by its name.
func (p *components) upstream(name string) (upstream.Upstream, bool) {
	m := p.upstreams.Load()
	if m == nil {
		return upstream.Upstream{}, false
	}
	u, ok := (*m)[name]
	return u, ok
}

// indexUpstreams keeps the known upstreams by their names.
func (p *components) indexUpstreams(l []upstream.Upstream) {
	m := make(map[string]upstream.Upstream, len(l))
	for _, u := range l {
		m[u.Name] = u
	}
	p.upstreams.Store(&m)
}
