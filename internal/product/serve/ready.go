package serve

import "time"

// settleTime is how long a new host may wait to hear of the upstreams before it takes calls all the same.
const settleTime = 5 * time.Second

// ready reports whether this host can take calls: its configuration is fresh and it knows upstreams for each route.
func (p *parts) ready() bool {
	if !p.spread.Fresh() {
		return false
	}
	return p.settled.Load() || p.settle()
}

// settle reports whether the host has heard of the upstreams, once and for all.
func (p *parts) settle() bool {
	served := map[string]bool{}
	for _, u := range p.roster.Upstreams() {
		served[u.Service] = served[u.Service] || !u.Leaving
	}
	late := p.serveHost.timer.Now().Sub(p.started) > settleTime
	for _, r := range p.spread.View().Routes {
		if !served[r.Service] && !late {
			return false
		}
	}
	p.settled.Store(true)
	return true
}
