package fanout

import (
	"slices"

	"siskinrun/internal/base/host"
)

// smallFleet is the number of hosts up to which each host talks to every other one.
const smallFleet = 24

// Topology is what one host knows of the others. In a large fleet news goes to the relay host of the failure domain, which
// passes it on to the hosts of the domain and to the relay hosts of the others.
type Topology struct {
	// Name is the name of this host.
	Name string
	// FailureDomain is the failure domain of this host.
	FailureDomain string
	// Hosts are the live hosts that take part.
	Hosts []host.Host
	// RelayHost is the relay host of the failure domain, empty if it is not known.
	RelayHost string
	// RemoteRelayHosts are the relay hosts of the other failure domains.
	RemoteRelayHosts []string
}

// TakesPart reports whether this host is among those that take part.
func (t Topology) TakesPart() bool {
	return slices.ContainsFunc(t.Hosts, func(h host.Host) bool { return h.Name == t.Name })
}

// Tell returns the hosts to which this host tells its own news.
func (t Topology) Tell() []string {
	switch {
	case t.small():
		return t.others(func(host.Host) bool { return true })
	case t.relays():
		return append(t.domainPeers(), t.RemoteRelayHosts...)
	default:
		return t.relayHost()
	}
}

// PassOn returns the hosts to which this host passes on what another one told.
func (t Topology) PassOn(from string) []string {
	if t.small() || !t.relays() {
		return nil
	}
	l := t.domainPeers()
	if slices.Contains(l, from) {
		l = append(l, t.RemoteRelayHosts...)
	}
	return slices.DeleteFunc(l, func(n string) bool { return n == from })
}

// Compare returns the hosts with which this host compares what it knows.
func (t Topology) Compare() []string {
	switch {
	case t.small():
		return t.others(func(host.Host) bool { return true })
	case t.relays():
		return slices.Clone(t.RemoteRelayHosts)
	default:
		return t.relayHost()
	}
}

func (t Topology) small() bool {
	return len(t.Hosts) <= smallFleet
}

func (t Topology) relays() bool {
	return t.RelayHost == t.Name
}

func (t Topology) relayHost() []string {
	if t.RelayHost == "" {
		return nil
	}
	return []string{t.RelayHost}
}

func (t Topology) domainPeers() []string {
	return t.others(func(h host.Host) bool { return h.FailureDomain == t.FailureDomain })
}

func (t Topology) others(keep func(host.Host) bool) []string {
	var l []string
	for _, h := range t.Hosts {
		if h.Name != t.Name && keep(h) {
			l = append(l, h.Name)
		}
	}
	return l
}
