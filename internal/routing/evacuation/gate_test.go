package evacuation_test

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/evacuation"
)

// TestGateIsClosedUntilTheConfigurationIsKnown guards against a host that has just started and sends to an evacuated failure
// domain.
func TestGateIsClosedUntilTheConfigurationIsKnown(t *testing.T) {
	is := is.New(t)
	g := &evacuation.Gate{}
	l := []upstream.Upstream{{Name: "a", FailureDomain: "d1"}, {Name: "b", FailureDomain: "d2"}, {Name: "c", FailureDomain: "d1", Leaving: true}}
	is.Equal(len(g.Filter(l)), 0)
	is.True(g.Set(nil))
	is.Equal(g.Filter(l), l[:2])
	is.True(g.Set(map[string]bool{"d1": true}))
	is.True(!g.Set(map[string]bool{"d1": true}))
	is.Equal(g.Filter(l), l[1:2])
	is.Equal(g.Evacuated(), 1)
	is.True(g.Set(map[string]bool{"d1": true, "d2": true}))
	is.Equal(len(g.Filter(l)), 0)
	is.True(g.Set(map[string]bool{}))
	is.Equal(g.Filter(l), l[:2])
}

// TestServicesCloseWithTheirLastUpstream guards against calls that wait for a service whose upstreams are all evacuated, and
// against a service that closes though one of its upstreams is open or none is known.
func TestServicesCloseWithTheirLastUpstream(t *testing.T) {
	is := is.New(t)
	g := &evacuation.Gate{}
	l := []upstream.Upstream{
		{Name: "a", Service: "s", FailureDomain: "d1"},
		{Name: "b", Service: "s", FailureDomain: "d2"},
		{Name: "c", Service: "t", FailureDomain: "d1"},
		{Name: "d", Service: "t", FailureDomain: "d2", Leaving: true},
	}
	is.Equal(len(g.Closed(l)), 0) // nothing is refused for an evacuation before one is known
	changed := g.Changed()
	g.Set(map[string]bool{"d1": true})
	<-changed
	is.Equal(g.Closed(l), map[string]bool{"t": true})
	changed = g.Changed()
	g.Set(map[string]bool{"d1": true})
	select {
	case <-changed:
		t.Fatal("a repeated order is no change")
	default:
	}
	g.Set(map[string]bool{"d1": true, "d2": true})
	<-changed
	is.Equal(g.Closed(l), map[string]bool{"s": true, "t": true})
	g.Set(map[string]bool{})
	is.Equal(len(g.Closed(l)), 0)
}
