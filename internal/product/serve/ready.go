package serve

import "time"

// settleTime is how long a new host waits to hear of upstreams for every route before it takes calls without them.
const settleTime = 5 * time.Second

// ready reports whether this host can take calls: its configuration is fresh, and it knows an upstream for each route
// or has waited long enough.
func (p *parts) ready() bool {
	if !p.spread.Fresh() {
		return false
	}
	return p.settled.Load() || p.settle()
}

// settle reports whether the host knows an upstream for each route or has waited long enough. Once true, it stays so.
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
