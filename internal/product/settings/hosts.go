package settings

import (
	"maps"
	"net"
	"slices"
	"sort"
)

const (
	// KeepsConfiguration stands in Host.Keeps for the replicated configuration.
	KeepsConfiguration = "configuration"
	// KeepsLedgers stands in Host.Keeps for the batch ledgers.
	KeepsLedgers = "ledgers"
)

// Stores reports whether the host stores a kind of state.
func (h Host) Stores(kind string) bool {
	return h.DataFolder != "" && (len(h.Keeps) == 0 || slices.Contains(h.Keeps, kind))
}

// UsesSeeds reports whether the hosts find each other through seeds.
func (s *Settings) UsesSeeds() bool {
	return len(s.Fleet.Seeds) > 0
}

// ControlHosts returns the sorted names of the control hosts that the settings list, or of the seeds if there are any.
func (s *Settings) ControlHosts() []string {
	var n []string
	if s.UsesSeeds() {
		for _, a := range s.Fleet.Seeds {
			if h, _, err := net.SplitHostPort(a); err == nil {
				n = append(n, h)
			}
		}
		slices.Sort(n)
		return slices.Compact(n)
	}
	for h, v := range s.Fleet.Hosts {
		if v.DataFolder != "" {
			n = append(n, h)
		}
	}
	sort.Strings(n)
	return n
}

// DomainNames returns the names of the failure domains that fleet.failure-domains lists, in order.
func (s *Settings) DomainNames() []string {
	m := map[string]bool{}
	for _, t := range s.Fleet.FailureDomains {
		for n := range t {
			m[n] = true
		}
	}
	return slices.Sorted(maps.Keys(m))
}

// FailureDomains returns the failure domain of each host.
func (s *Settings) FailureDomains() map[string]string {
	m := map[string]string{}
	for h, v := range s.Fleet.Hosts {
		m[h] = v.FailureDomain
	}
	return m
}

// PeerAddresses returns the peers' address of each host.
func (s *Settings) PeerAddresses() map[string]string {
	m := map[string]string{}
	for h, v := range s.Fleet.Hosts {
		m[h] = v.Peers
	}
	return m
}

func (s *Settings) hostNames() []string {
	var n []string
	for h := range s.Fleet.Hosts {
		n = append(n, h)
	}
	slices.Sort(n)
	return n
}
