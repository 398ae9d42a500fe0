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
