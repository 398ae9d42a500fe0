package gossip

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/feature"
	"siskinrun/internal/data/gossipmessage"
)

// TestFeaturesAreEncoded guards against a host whose features are lost on the way to its peers.
func TestFeaturesAreEncoded(t *testing.T) {
	is := is.New(t)
	b, err := encode(gossipmessage.Message{From: "a", Hosts: []gossipmessage.Host{{Name: "a", Features: feature.Known}}})
	is.NoErr(err)
	n, err := decode(b)
	is.NoErr(err)
	is.Equal(n.Hosts[0].Features, feature.Known)
}
