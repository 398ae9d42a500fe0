package fanout_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/host"
	"siskinrun/internal/fleet/fanout"
)

// fleet returns the topologies of all hosts of a fleet; the first host of each failure domain is its relay host.
func fleet(n, domains int) map[string]fanout.Topology {
	var l []host.Host
	for i := range n {
		l = append(l, host.Host{Name: fmt.Sprint("h", i), FailureDomain: fmt.Sprint("d", i%domains)})
	}
	m := map[string]fanout.Topology{}
	for i, h := range l {
		t := fanout.Topology{Name: h.Name, FailureDomain: h.FailureDomain, Hosts: l, RelayHost: fmt.Sprint("h", i%domains)}
		for d := range domains {
			if d != i%domains {
				t.RemoteRelayHosts = append(t.RemoteRelayHosts, fmt.Sprint("h", d))
			}
		}
		m[h.Name] = t
	}
	return m
}

func TestNewsReachesEveryHostOnce(t *testing.T) {
	for _, c := range []struct{ hosts, domains, maxPeers int }{{9, 3, 8}, {24, 3, 23}, {80, 5, 19}, {320, 15, 35}} {
		for _, from := range []int{0, 1, c.hosts - 1} {
			t.Run(fmt.Sprint(c.hosts, " hosts from ", from), func(t *testing.T) {
				is := is.New(t)
				m := fleet(c.hosts, c.domains)
				first := fmt.Sprint("h", from)
				got := map[string]int{first: 1}
				type message struct{ from, to string }
				var queue []message
				for _, n := range m[first].Tell() {
					queue = append(queue, message{first, n})
				}
				for len(queue) > 0 {
					q := queue[0]
					queue = queue[1:]
					got[q.to]++
					is.Equal(got[q.to], 1)
					for _, n := range m[q.to].PassOn(q.from) {
						queue = append(queue, message{q.to, n})
					}
				}
				is.Equal(len(got), c.hosts)
				for _, x := range m {
					is.True(len(x.Tell()) <= c.maxPeers)
					is.True(!slices.Contains(x.Compare(), x.Name))
					is.True(len(x.Compare()) > 0)
				}
			})
		}
	}
}

func TestHostWithoutARelayHostTellsNobody(t *testing.T) {
	is := is.New(t)
	x := fleet(80, 5)["h70"]
	x.RelayHost = ""
	is.Equal(len(x.Tell())+len(x.Compare())+len(x.PassOn("h1")), 0)
	is.True(x.TakesPart())
	x.Name = strings.ToUpper(x.Name)
	is.True(!x.TakesPart())
}
