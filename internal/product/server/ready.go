package server

import "time"

// maxUpstreamWait is how long a new host waits to hear of upstreams for every route before it takes calls without them.
const maxUpstreamWait = 5 * time.Second

// ready reports whether this host can take calls: its configuration is fresh, and it knows an upstream for each route
// or has waited long enough.
func (p *components) ready() bool {
	if !p.distribution.Fresh() {
		return false
	}
	return p.upstreamsReady.Load() || p.checkUpstreams()
}

// checkUpstreams reports whether the host knows an upstream for each route or has waited long enough. Once true, it stays so.
func (p *components) checkUpstreams() bool {
	served := map[string]bool{}
	for _, u := range p.gossip.Upstreams() {
		served[u.Service] = served[u.Service] || !u.Leaving
	}
	late := p.server.timer.Now().Sub(p.started) > maxUpstreamWait
	for _, r := range p.distribution.View().Routes {
		if !served[r.Service] && !late {
			return false
		}
	}
	p.upstreamsReady.Store(true)
	return true
}
