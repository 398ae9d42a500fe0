package assignment_test

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/host"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/jobs/assignment"
)

// TestRankingBeginsWithTheAssignedHost guards against two hosts that both take themselves for the first.
func TestRankingBeginsWithTheAssignedHost(t *testing.T) {
	is := is.New(t)
	hosts := []host.Host{
		{Name: "a1", FailureDomain: "a"}, {Name: "a2", FailureDomain: "a"}, {Name: "a3", FailureDomain: "a"},
		{Name: "b1", FailureDomain: "b"}, {Name: "b2", FailureDomain: "b"},
	}
	var l []upstream.Upstream
	for _, n := range []string{"u1", "u2", "u3", "u4"} {
		l = append(l, upstream.Upstream{Name: n, FailureDomain: "b"})
	}
	a := assignment.NewAssignment(hosts, l)
	for _, u := range l {
		r := a.Ranking(u.Name, 3)
		is.Equal(len(r), 3)
		is.Equal(r[0], a.HostOf(u.Name))
		is.Equal(r[1][0], byte('b')) // the hosts of the upstream's failure domain come first
		is.Equal(r[2][0], byte('a'))
	}
	is.Equal(len(a.Ranking("u1", 9)), 5)
	is.Equal(len(a.Ranking("unknown", 3)), 0)
}
