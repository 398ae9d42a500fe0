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
