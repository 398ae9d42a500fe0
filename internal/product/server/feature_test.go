package server

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/config/memberfeatures"
	"siskinrun/internal/data/feature"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/state/identity"
)

// TestChangesWaitForControlHostsOfOlderBuilds guards against a change that one replica applies and another one does not know,
// also one that is dead meanwhile, and against orders that wait for hosts that keep no configuration.
func TestChangesWaitForControlHostsOfOlderBuilds(t *testing.T) {
	is := is.New(t)
	hosts := []gossipmessage.Host{
		{Name: "new", Boot: 1, Control: true, Features: feature.Known},
		{Name: "entry", Boot: 1},
		{Name: "ledger", Boot: 1, Ledgers: true},
		{Name: "dead", Boot: 1, Control: true, Dead: true},
	}
	m := memberfeatures.NewTable()
	l := withoutDisks([]identity.Identity{{Host: "new", Disk: "1"}})
	m.Observe(l, hosts)
	is.Equal(m.Lacking(l, feature.Evacuation), "")
	l = append(l, identity.Identity{Host: "dead"})
	m.Observe(l, hosts)
	is.Equal(m.Lacking(l, feature.Evacuation), "dead")
	is.Equal(m.Lacking([]identity.Identity{{Host: "unknown"}}, feature.Evacuation), "unknown")
	is.Equal(featureUnknown.Status, 503)
	is.True(featureUnknown.WithJitter().RetryAfter > 0)
}
