package server

import (
	"context"
	"maps"
	"net"
	"slices"
	"time"

	"siskinrun/internal/base/host"
	"siskinrun/internal/base/rpc"
	"siskinrun/internal/data/feature"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/fleet/fanout"
)

// hostsInterval is how often a host that joined through seeds reads the list of hosts from the gossip.
const hostsInterval = 500 * time.Millisecond

// maxCoordinators is the number of hosts that may hand out the permits of one upstream.
const maxCoordinators = 3

// addSeedAddresses gives the link the addresses of hosts that no settings list: their names, at the port of this host.
func (p *components) addSeedAddresses(l *rpc.Endpoint) {
	s := p.server.Settings
	if !s.UsesSeeds() {
		return
	}
	_, port, err := net.SplitHostPort(p.host.Peers)
	if err != nil {
		return // cannot happen: the settings were validated
	}
	l.Port = port
	for _, n := range s.ControlHosts() {
		if _, ok := l.Peers[n]; !ok {
			l.Peers[n] = net.JoinHostPort(n, port)
		}
	}
}

// controlHosts returns the failure domains of the control hosts that are not dead, by name.
func (p *components) controlHosts() map[string]string {
	return p.hostDomains(func(h gossipmessage.Host) bool { return h.Control })
}

// ledgerHosts returns the failure domains of the hosts that keep ledgers and are not dead, by name.
func (p *components) ledgerHosts() map[string]string {
	return p.hostDomains(func(h gossipmessage.Host) bool { return h.Ledgers })
}

func (p *components) hostDomains(keep func(gossipmessage.Host) bool) map[string]string {
	m := map[string]string{}
	for _, h := range p.gossip.Hosts() {
		if keep(h) && !h.Dead {
			m[h.Name] = h.FailureDomain
		}
	}
	return m
}

// replicaHosts returns the names of the hosts that may hold a replica of a group; for the configuration, these include the
// control hosts among the seeds.
func (p *components) replicaHosts(group uint32) []string {
	if group != configurationGroup {
		return p.ledgerReplicaHosts()
	}
	l := append(slices.Clone(p.seedHosts()), slices.Sorted(maps.Keys(p.controlHosts()))...)
	slices.Sort(l)
	return slices.Compact(l)
}

// ledgerReplicaHosts returns the names of the hosts that have said that they hold a replica of a ledger, or of all that may
// if none has.
func (p *components) ledgerReplicaHosts() []string {
	l := p.hostDomains(func(h gossipmessage.Host) bool { return h.Ledgers && h.Replica })
	if len(l) == 0 {
		l = p.ledgerHosts()
	}
	return slices.Sorted(maps.Keys(l))
}

// holdsLedger reports whether this host holds a replica of a batch ledger: only such hosts know the leader of its group.
func (p *components) holdsLedger() bool {
	for g := uint32(1); p.control != nil && g <= p.ledgerGroups(); g++ {
		if p.control.Lead(g).Leader != "" {
			return true
		}
	}
	return false
}

// callHosts returns the names of the hosts that may hold rate units of teams, which are those that take calls.
func (p *components) callHosts() []string {
	var l []string
	for _, h := range p.gossip.Hosts() {
		if !h.Dead && !h.Control && !h.Ledgers {
			l = append(l, h.Name)
		}
	}
	return l
}

// deputyCandidates returns the hosts that may stand in for the owner of the rates of a group in their failure domains, dead ones
// included: the members of the group, which its leader knows from its log. Other hosts go by what hosts say of themselves.
func (p *components) deputyCandidates(group uint64) []host.Host {
	domains := map[string]string{}
	var c []host.Host
	for _, h := range p.gossip.Hosts() {
		domains[h.Name] = h.FailureDomain
		if h.Ledgers && (h.Replica || !p.server.Settings.UsesSeeds()) {
			c = append(c, host.Host{Name: h.Name, FailureDomain: h.FailureDomain})
		}
	}
	if p.control == nil {
		return c
	}
	m := p.control.Status(uint32(group)).Members
	if len(m) == 0 {
		return c
	}
	c = c[:0]
	for _, i := range m {
		n := i.Identity.Host
		c = append(c, host.Host{Name: n, FailureDomain: domains[n]})
	}
	return c
}

// knowsDeputies reports whether all hosts that may own the rates of a group know of deputies, dead ones included.
func (p *components) knowsDeputies() bool {
	for _, h := range p.gossip.Hosts() {
		if (h.Ledgers || !p.server.Settings.UsesSeeds()) && !h.Features.Has(feature.Deputies) {
			return false
		}
	}
	return true
}

// callHostCount returns the number of hosts that take calls.
func (p *components) callHostCount() int {
	if !p.server.Settings.UsesSeeds() {
		return len(p.gossip.Hosts())
	}
	return max(len(p.callHosts()), 1)
}

// batchHosts returns the live hosts that run batch items: those that keep no replicated state, or all if there are none.
func (p *components) batchHosts() []host.Host {
	return p.entryHosts(func(h gossipmessage.Host) bool {
		return !h.Stopping && (h.Name == p.server.Name || p.gossip.Alive(h.Name))
	})
}

// claimSettle is the time after its start in which a host may not know all hosts that hold claims.
const claimSettle = 2 * time.Second

// claimHosts returns the hosts that may hold claims on upstreams, dead ones included, or none if this host may not know all.
func (p *components) claimHosts() []string {
	if p.server.timer.Now().Sub(p.started) < claimSettle {
		return nil
	}
	var l []string
	for _, h := range p.gossip.Hosts() {
		l = append(l, h.Name)
	}
	return l
}

// stoppedHosts returns the names of the hosts that have said that they stop.
func (p *components) stoppedHosts() map[string]bool {
	m := map[string]bool{}
	for _, h := range p.gossip.Hosts() {
		if h.Stopping {
			m[h.Name] = true
		}
	}
	return m
}

// gatewayHosts returns the hosts through which this one may reach upstreams.
func (p *components) gatewayHosts() []host.Host {
	return slices.DeleteFunc(p.batchHosts(), func(h host.Host) bool { return h.Name == p.server.Name })
}

// recordHosts returns the hosts that keep the records of streams: those that take calls, unless they are dead, or all if
// there are none. A host that is only suspected stays among them, since hosts suspect others at different times.
func (p *components) recordHosts() []host.Host {
	return p.entryHosts(func(h gossipmessage.Host) bool { return !h.Dead })
}

// controlRecordHosts returns the control hosts that keep records of streams too, where others take the calls.
func (p *components) controlRecordHosts() []host.Host {
	var l []host.Host
	others := false
	for _, h := range p.gossip.Hosts() {
		switch {
		case h.Dead:
		case h.Control || h.Ledgers:
			l = append(l, host.Host{Name: h.Name, FailureDomain: h.FailureDomain})
		default:
			others = true
		}
	}
	if !others {
		return nil
	}
	return l
}

// entryHosts returns the hosts to keep that hold no replicated state, or all hosts to keep if there are none.
func (p *components) entryHosts(keep func(gossipmessage.Host) bool) []host.Host {
	var entry, all []host.Host
	for _, h := range p.gossip.Hosts() {
		if !keep(h) {
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

// topology returns to which hosts rare news goes.
func (p *components) topology() fanout.Topology {
	return fanout.Topology{
		Name:             p.server.Name,
		FailureDomain:    p.host.FailureDomain,
		Hosts:            p.recordHosts(),
		RelayHost:        p.relayHost(),
		RemoteRelayHosts: p.remoteRelayHosts(),
	}
}

// batchHost returns the host that runs the batch items of an upstream, or "" if it is not known.
func (p *components) batchHost(name string) string {
	a := p.assignment.Load()
	if a == nil {
		return ""
	}
	return a.HostOf(name)
}

// coordinators returns the hosts that may hand out the permits of an upstream, the one that runs its batch items first.
func (p *components) coordinators(name string) []string {
	a := p.assignment.Load()
	if a == nil {
		return nil
	}
	return a.Ranking(name, maxCoordinators)
}

// relayHost returns the host that passes occupancies on in this failure domain, or "" if it is not known.
func (p *components) relayHost() string {
	a := p.assignment.Load()
	if a == nil {
		return ""
	}
	return a.RelayHost(p.host.FailureDomain)
}

// remoteRelayHosts returns the hosts that pass occupancies on in the other failure domains.
func (p *components) remoteRelayHosts() []string {
	a := p.assignment.Load()
	if a == nil {
		return nil
	}
	return a.RemoteRelayHosts(p.host.FailureDomain)
}

// updateHosts passes the hosts known to the gossip to the configuration distribution until ctx ends.
func (p *components) updateHosts(ctx context.Context) error {
	var last []gossipmessage.Host
	var lastSeeds []string
	for {
		if err := p.server.timer.Sleep(ctx, hostsInterval); err != nil {
			return err
		}
		if p.holdsLedger() {
			p.gossip.AnnounceReplica()
		}
		l := p.gossip.Hosts()
		for i := range l {
			l[i].Sequence = 0
		}
		s := p.seedHosts()
		if slices.Equal(l, last) && slices.Equal(s, lastSeeds) {
			continue
		}
		last, lastSeeds = l, s
		p.setDistributionHosts(l)
	}
}

// setDistributionHosts tells the configuration distribution the live hosts and the control hosts among them.
func (p *components) setDistributionHosts(l []gossipmessage.Host) {
	domains := map[string]string{}
	control := slices.Clone(p.seedHosts())
	for _, h := range l {
		if h.Dead {
			continue
		}
		if !h.Control && !h.Features.Has(feature.Configuration) {
			continue // an older build passes configurations on without what it doesn't know
		}
		domains[h.Name] = h.FailureDomain
		if h.Control {
			control = append(control, h.Name)
		}
	}
	slices.Sort(control)
	p.distribution.SetHosts(domains, slices.Compact(control))
}
