package server

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/feature"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/state/groupstatus"
	"siskinrun/internal/state/identity"
)

// TestItemsWaitForLedgersOfOlderBuilds guards against an order of items that one replica applies and another one does not know,
// also where the other one is down or was never heard from.
func TestItemsWaitForLedgersOfOlderBuilds(t *testing.T) {
	is := is.New(t)
	member := func(n string) groupstatus.Member { return groupstatus.Member{Identity: identity.Identity{Host: n}} }
	hosts := []gossipmessage.Host{
		{Name: "new", Features: feature.Known},
		{Name: "down", Features: feature.Known, Dead: true},
		{Name: "old", Features: feature.Configuration},
		{Name: "old-down", Dead: true},
	}
	for _, x := range []struct {
		members []groupstatus.Member
		all     bool
	}{
		{nil, false},
		{[]groupstatus.Member{member("new"), member("down")}, true},
		{[]groupstatus.Member{member("new"), member("old")}, false},
		{[]groupstatus.Member{member("new"), member("old-down")}, false},
		{[]groupstatus.Member{member("new"), member("unheard")}, false},
	} {
		_, all := olderMember(x.members, hosts, feature.JobsByDeadline)
		is.Equal(all, x.all)
	}
}
