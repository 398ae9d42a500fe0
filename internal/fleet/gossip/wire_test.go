package gossip

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/feature"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/data/upstream"
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

// TestTimeOfBeingColdTravels guards against announcements of cold upstreams that arrive as those of warm ones.
func TestTimeOfBeingColdTravels(t *testing.T) {
	is := is.New(t)
	u := upstream.Upstream{
		Name: "u", Address: "10.0.0.1:80", Service: "s", Slots: 8, Cold: duration.Duration(2500 * time.Millisecond),
	}
	b, err := encode(gossipmessage.Message{Announcements: []gossipmessage.Announcement{{Age: time.Second, Upstream: u}}})
	is.NoErr(err)
	m, err := decode(b)
	is.NoErr(err)
	is.Equal(len(m.Announcements), 1)
	is.Equal(m.Announcements[0].Upstream, u)
}
