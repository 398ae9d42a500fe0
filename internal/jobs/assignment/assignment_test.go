package assignment

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/host"
	"siskinrun/internal/data/upstream"
)

func hosts(domains, each int) []host.Host {
	var h []host.Host
	for d := range domains {
		for i := range each {
			h = append(h, host.Host{Name: fmt.Sprintf("h%d-%d", d, i), FailureDomain: fmt.Sprintf("d%d", d)})
		}
	}
	return h
}

func TestHostIsInTheUpstreamsFailureDomain(t *testing.T) {
	is := is.New(t)
	a := Assignment{Hosts: hosts(3, 3)}
	n := map[string]int{}
	for i := range 300 {
		u := upstream.Upstream{Name: fmt.Sprintf("u%d", i), FailureDomain: fmt.Sprintf("d%d", i%3)}
		h := a.HostFor(u)
		is.Equal(h[:2], "h"+u.FailureDomain[1:])
		n[h]++
	}
	is.Equal(len(n), 9)
	for _, c := range n {
		is.True(c > 10)
	}
}

func TestHostLossMovesOnlyItsUpstreams(t *testing.T) {
	is := is.New(t)
	all := hosts(1, 4)
	for i := range 100 {
		u := upstream.Upstream{Name: fmt.Sprintf("u%d", i), FailureDomain: "d0"}
		before := Assignment{Hosts: all}.HostFor(u)
		after := Assignment{Hosts: all[1:]}.HostFor(u)
		is.True(before == after || before == all[0].Name)
	}
	far := upstream.Upstream{Name: "u", FailureDomain: "elsewhere"}
	is.True(Assignment{Hosts: all}.HostFor(far) != "")
	is.Equal(Assignment{}.HostFor(far), "")
}

func upstreams(n, domains int) []upstream.Upstream {
	var l []upstream.Upstream
	for i := range n {
		l = append(l, upstream.Upstream{Name: fmt.Sprintf("u%d", i), FailureDomain: fmt.Sprintf("d%d", i%domains)})
	}
	return l
}

// TestFewHostsAreChosen guards against sessions from every host to every other: the chosen hosts follow the upstreams.
func TestFewHostsAreChosen(t *testing.T) {
	for _, c := range []struct {
		name                          string
		domains, perDomain, upstreams int
		want                          int
	}{
		{"small fleet", 3, 3, 12, 9},
		{"hundreds of hosts", 5, 50, 155, 30},
		{"few upstreams", 5, 50, 5, 20},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := upstreams(c.upstreams, c.domains)
			a := NewAssignment(hosts(c.domains, c.perDomain), l)
			is.Equal(len(a.Hosts), c.want)
			perHost := map[string]int{}
			for _, u := range l {
				h := a.HostOf(u.Name)
				is.Equal(h, a.HostFor(u))
				is.Equal(h[:2], "h"+u.FailureDomain[1:])
				perHost[h]++
			}
			for _, n := range perHost {
				is.True(n <= 3*upstreamsPerHost)
			}
			is.Equal(a.HostOf("unknown"), "")
		})
	}
}

func TestLossOfAnUnchosenHostMovesNothing(t *testing.T) {
	is := is.New(t)
	all, l := hosts(5, 50), upstreams(155, 5)
	a := NewAssignment(all, l)
	chosen := map[string]bool{}
	for _, h := range a.Hosts {
		chosen[h.Name] = true
	}
	for i, h := range all[:50] {
		rest := append(append([]host.Host{}, all[:i]...), all[i+1:]...)
		b := NewAssignment(rest, l)
		moved := 0
		for _, u := range l {
			if a.HostOf(u.Name) != b.HostOf(u.Name) {
				moved++
			}
		}
		is.True(chosen[h.Name] || moved == 0)
		is.True(moved <= 4*upstreamsPerHost)
	}
}

func TestEachDomainHasOneRelayHost(t *testing.T) {
	is := is.New(t)
	a := NewAssignment(hosts(5, 50), upstreams(155, 5))
	seen := map[string]bool{}
	for _, n := range a.RemoteRelayHosts("d2") {
		seen[n[:2]] = true
		is.Equal(a.RelayHost("d"+n[1:2]), n)
	}
	is.Equal(seen, map[string]bool{"h0": true, "h1": true, "h3": true, "h4": true})
	is.Equal(a.RelayHost("d2")[:2], "h2")
	is.Equal(a.RelayHost("elsewhere"), "")
}
