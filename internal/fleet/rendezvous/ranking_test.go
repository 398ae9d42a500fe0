package rendezvous_test

import (
	"fmt"
	"slices"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/host"
	"siskinrun/internal/fleet/rendezvous"
)

func hosts(n, domains int) []host.Host {
	var l []host.Host
	for i := range n {
		l = append(l, host.Host{Name: fmt.Sprint("h", i), FailureDomain: fmt.Sprint("d", i%domains)})
	}
	return l
}

func TestFirst(t *testing.T) {
	for _, c := range []struct {
		name                       string
		hosts, domains, n, domainN int
	}{
		{"three domains", 9, 3, 3, 3},
		{"more domains than copies", 80, 5, 3, 3},
		{"one domain", 4, 1, 3, 1},
		{"fewer hosts than copies", 2, 2, 3, 2},
		{"twice the domains", 9, 3, 6, 3},
		{"no host", 0, 1, 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			l := hosts(c.hosts, c.domains)
			names := rendezvous.NewRanking(l, "").First("k", c.n)
			is.Equal(len(names), min(c.n, c.hosts))
			domains := map[string]bool{}
			for _, n := range names {
				i := slices.IndexFunc(l, func(h host.Host) bool { return h.Name == n })
				domains[l[i].FailureDomain] = true
			}
			is.Equal(len(domains), c.domainN)
			slices.Reverse(l)
			is.Equal(rendezvous.NewRanking(l, "").First("k", c.n), names)
		})
	}
}

func TestLossOfAHostMovesFewKeys(t *testing.T) {
	is := is.New(t)
	l := hosts(9, 3)
	moved := 0
	for i := range 1000 {
		k := fmt.Sprint("k", i)
		a := rendezvous.NewRanking(l, "").First(k, 3)
		b := rendezvous.NewRanking(l[1:], "").First(k, 3)
		for _, n := range a {
			if n != "h0" && !slices.Contains(b, n) {
				moved++
			}
		}
	}
	is.Equal(moved, 0)
}

// TestFewHostsAreRanked guards against a host that talks to every other one of a large fleet in time.
func TestFewHostsAreRanked(t *testing.T) {
	is := is.New(t)
	r := rendezvous.NewRanking(hosts(320, 15), "d3")
	seen := map[string]bool{}
	for i := range 2000 {
		for _, n := range r.First(fmt.Sprint("k", i), 2) {
			seen[n] = true
		}
	}
	is.Equal(len(seen), 16)
}

func TestOwnFailureDomainComesFirst(t *testing.T) {
	is := is.New(t)
	l := hosts(9, 3)
	for _, c := range []struct{ domain, first string }{{"d0", "d0"}, {"d2", "d2"}, {"none", "d0"}, {"d1x", "d2"}} {
		n := rendezvous.NewRanking(l, c.domain).First("k", 1)[0]
		i := slices.IndexFunc(l, func(h host.Host) bool { return h.Name == n })
		is.Equal(l[i].FailureDomain, c.first)
	}
}

func BenchmarkFirst(b *testing.B) {
	r := rendezvous.NewRanking(hosts(320, 15), "")
	for b.Loop() {
		r.First("9c41d07be2a35f68", 3)
	}
}

func TestHostsOfAllFailureDomainsAgreeOnOwners(t *testing.T) {
	is := is.New(t)
	var l []host.Host
	for i := range 320 {
		l = append(l, host.Host{Name: fmt.Sprint("h", i), FailureDomain: fmt.Sprint("d", i%15)})
	}
	owners := map[string]int{}
	for k := range 1000 {
		o, ok := rendezvous.NewRanking(slices.Clone(l), "d3").Owner(fmt.Sprint(k))
		is.True(ok)
		if k%50 == 0 {
			p, _ := rendezvous.NewRanking(slices.Clone(l), "d9").Owner(fmt.Sprint(k))
			is.Equal(o, p)
		}
		owners[o]++
	}
	is.True(len(owners) > 100)
	is.True(len(owners) <= 15*8) // few hosts, so that no host gets a session with each other one
	_, ok := rendezvous.NewRanking(nil, "").Owner("x")
	is.True(!ok)
}
