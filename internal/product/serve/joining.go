package serve

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"siskinrun/internal/base/host"
	"siskinrun/internal/base/link"
	"siskinrun/internal/data/news"
	"siskinrun/internal/data/upstream"
)

// hostsInterval is how often a host that joined through seeds reads the list of hosts from the gossip.
const hostsInterval = 500 * time.Millisecond

// join gives the link the addresses of hosts that no settings list: their names, at the port of this host.
func (p *parts) join(l *link.Link) {
	s := p.serveHost.Settings
	if !s.Joining() {
		return
	}
	_, port, err := net.SplitHostPort(p.host.Peers)
	if err != nil {
		return // cannot happen: the settings were validated
	}
	l.Port = port
	for _, n := range s.Control() {
		if _, ok := l.Peers[n]; !ok {
			l.Peers[n] = net.JoinHostPort(n, port)
		}
	}
}

// controlHosts returns the failure domains of the control hosts that are not dead, by name.
func (p *parts) controlHosts() map[string]string {
	return p.hostsThat(func(h news.Host) bool { return h.Control })
}

// ledgerHosts returns the failure domains of the hosts that keep ledgers and are not dead, by name.
func (p *parts) ledgerHosts() map[string]string {
	return p.hostsThat(func(h news.Host) bool { return h.Ledgers })
}

func (p *parts) hostsThat(keep func(news.Host) bool) map[string]string {
	m := map[string]string{}
	for _, h := range p.roster.Hosts() {
		if keep(h) && !h.Dead {
			m[h.Name] = h.FailureDomain
		}
	}
	return m
}

// keepers returns the names of the hosts that may hold a replica of a group; for the configuration, these include the
// control hosts among the seeds.
func (p *parts) keepers(group uint32) []string {
	if group != configurationGroup {
		return slices.Sorted(maps.Keys(p.ledgerHosts()))
	}
	l := append(slices.Clone(p.seedHosts()), slices.Sorted(maps.Keys(p.controlHosts()))...)
	slices.Sort(l)
	return slices.Compact(l)
}

// spenders returns the names of the hosts that may hold rate units of teams, which are those that take calls.
func (p *parts) spenders() []string {
	var l []string
	for _, h := range p.roster.Hosts() {
		if !h.Dead && !h.Control && !h.Ledgers {
			l = append(l, h.Name)
		}
	}
	return l
}

// takers returns the number of hosts that take calls.
func (p *parts) takers() int {
	if !p.serveHost.Settings.Joining() {
		return len(p.roster.Hosts())
	}
	return max(len(p.spenders()), 1)
}

// drivers returns the live hosts that run batch items: those that keep no replicated state, or all if there are none.
func (p *parts) drivers() []host.Host {
	var entry, all []host.Host
	for _, h := range p.roster.Hosts() {
		if h.Stopping || h.Name != p.serveHost.Name && !p.roster.Alive(h.Name) {
			continue
		}
		d := host.Host{Name: h.Name, FailureDomain: h.FailureDomain}
		all = append(all, d)
		if !h.Control && !h.Ledgers {
			entry = append(entry, d)
		}
	}
	if len(entry) == 0 {
		return all
	}
	return entry
}

// driver returns the host that runs the batch items of an upstream, or "" if it is not known.
func (p *parts) driver(name string) string {
	a := p.driving.Load()
	l := p.roster.Upstreams()
	i := slices.IndexFunc(l, func(u upstream.Upstream) bool { return u.Name == name })
	if a == nil || i < 0 {
		return ""
	}
	return a.Driver(l[i])
}

// follow passes the hosts known to the gossip to the configuration distribution until ctx ends.
func (p *parts) follow(ctx context.Context) error {
	for {
		if err := p.serveHost.timer.Sleep(ctx, hostsInterval); err != nil {
			return err
		}
		domains := map[string]string{}
		control := slices.Clone(p.seedHosts())
		for _, h := range p.roster.Hosts() {
			if h.Dead {
				continue
			}
			domains[h.Name] = h.FailureDomain
			if h.Control {
				control = append(control, h.Name)
			}
		}
		slices.Sort(control)
		p.spread.SetHosts(domains, slices.Compact(control))
	}
}
