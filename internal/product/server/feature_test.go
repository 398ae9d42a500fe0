package server

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/feature"
	"siskinrun/internal/data/gossipmessage"
)

// TestChangesWaitForControlHostsOfOlderBuilds guards against a change that one replica applies and another one does not know,
// and against orders that wait for hosts that keep no configuration or are gone.
func TestChangesWaitForControlHostsOfOlderBuilds(t *testing.T) {
	is := is.New(t)
	l := []gossipmessage.Host{
		{Name: "new", Control: true, Features: feature.Known},
		{Name: "entry"},
		{Name: "ledger", Ledgers: true},
		{Name: "dead", Control: true, Dead: true},
	}
	is.Equal(olderControlHost(l, feature.Evacuation), "")
	l = append(l, gossipmessage.Host{Name: "old", Control: true})
	is.Equal(olderControlHost(l, feature.Evacuation), "old")
	is.Equal(featureUnknown.Status, 503)
	is.True(featureUnknown.WithJitter().RetryAfter > 0)
}
