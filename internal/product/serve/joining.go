package serve

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"siskinrun/internal/base/host"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/data/upstream"
)

// hostsInterval is how often a host that joined through seeds looks who is there.
const hostsInterval = 500 * time.Millisecond

// join lets the link reach the hosts that no settings list.
func (p *parts) join(l *rpc.Endpoint) {
	s := p.serveHost.Settings
	if !s.UsesSeeds() {
		return
	}
	_, port, err := net.SplitHostPort(p.host.Peers)
	if err != nil {
		return // the settings were checked
	}
	l.Port = port
	for _, n := range s.ControlHosts() {
		if _, ok := l.Peers[n]; !ok {
			l.Peers[n] = net.JoinHostPort(n, port)
		}
	}
}

// controlHosts returns the control hosts that answer, with their failure domains.
func (p *parts) controlHosts() map[string]string {
	return p.hostsThat(func(h gossipmessage.Host) bool { return h.Control })
}

// ledgerHosts returns the hosts that keep ledgers and answer, with their failure domains.
func (p *parts) ledgerHosts() map[string]string {
	return p.hostsThat(func(h gossipmessage.Host) bool { return h.Ledgers })
}

func (p *parts) hostsThat(keep func(gossipmessage.Host) bool) map[string]string {
	m := map[string]string{}
	for _, h := range p.roster.Hosts() {
		if keep(h) && !h.Dead {
			m[h.Name] = h.FailureDomain
		}
	}
	return m
}

// keepers returns the names of the hosts that keep a group, the settings' ones among those of the configuration.
func (p *parts) keepers(group uint32) []string {
	if group != configurationGroup {
		return slices.Sorted(maps.Keys(p.ledgerHosts()))
	}
	l := append(slices.Clone(p.seedHosts()), slices.Sorted(maps.Keys(p.controlHosts()))...)
	slices.Sort(l)
	return slices.Compact(l)
}

// spenders returns the names of the hosts that may hold units of the teams' rates: those that take calls.
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
	if !p.serveHost.Settings.UsesSeeds() {
		return len(p.roster.Hosts())
	}
	return max(len(p.spenders()), 1)
}

// drivers returns the hosts that drive batch work: those without a disk, or all if there are no others.
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

// driver returns the host that drives the batch work of an upstream, or nothing if that is not known.
func (p *parts) driver(name string) string {
	a := p.driving.Load()
	l := p.roster.Upstreams()
	i := slices.IndexFunc(l, func(u upstream.Upstream) bool { return u.Name == name })
	if a == nil || i < 0 {
		return ""
	}
	return a.Driver(l[i])
}

// follow keeps those who need the hosts of the fleet up to date until ctx ends.
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
