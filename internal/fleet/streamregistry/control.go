package streamregistry

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"siskinrun/internal/base/host"
)

// spanHosts is the number of control hosts among which the records of one failure domain are spread.
const spanHosts = 2

// controlRanking divides the control hosts among the failure domains of the fleet, so that each keeps the records of few
// hosts, whichever domains have control hosts.
type controlRanking struct {
	// hosts are the control hosts in the order of their failure domains.
	hosts []host.Host
	// domains are the failure domains of all hosts that take calls.
	domains []string
}

func newControlRanking(control, entry []host.Host) *controlRanking {
	k := &controlRanking{hosts: slices.Clone(control)}
	slices.SortFunc(k.hosts, func(a, b host.Host) int {
		return cmp.Or(cmp.Compare(a.FailureDomain, b.FailureDomain), cmp.Compare(a.Name, b.Name))
	})
	for _, h := range entry {
		k.domains = append(k.domains, h.FailureDomain)
	}
	slices.Sort(k.domains)
	k.domains = slices.Compact(k.domains)
	return k
}

// keepers returns the control hosts that keep a record of a failure domain: one of the domain's own, and one of the next for
// each further copy.
func (k *controlRanking) keepers(domain, call string, copies int) []string {
	i, _ := slices.BinarySearch(k.domains, domain)
	var l []string
	for c := range copies {
		l = k.appendKeeper(l, i+c, call)
	}
	return l
}

// candidates returns the control hosts that may keep a record of any failure domain.
func (k *controlRanking) candidates(call string) []string {
	var l []string
	for i := range k.domains {
		l = k.appendKeeper(l, i, call)
	}
	return l
}

// appendKeeper appends the control host of a failure domain, by its index, unless it is in the list.
func (k *controlRanking) appendKeeper(l []string, domain int, call string) []string {
	n, d := len(k.hosts), len(k.domains)
	if n == 0 || d == 0 {
		return l
	}
	domain %= d
	first := domain * n / d
	span := min(max((domain+1)*n/d-first, 1), spanHosts)
	h := k.hosts[first+int(xxhash.Sum64String(call)%uint64(span))].Name
	if slices.Contains(l, h) {
		return l
	}
	return append(l, h)
}
