package pipeline

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// TestItemIsNotSentToAServiceThatItsRouteLeft guards against an item that runs at an upstream to whose service its route led
// when the item was leased and leads no more.
func TestItemIsNotSentToAServiceThatItsRouteLeft(t *testing.T) {
	is := is.New(t)
	c := &configuration.Configuration{Routes: map[string]route.Route{
		"lots": {Prefix: "/a/", Service: "new", Jobs: true, Unmetered: true},
		"both": {Prefix: "/b/", Shares: map[string]int64{"old": 1, "new": 1}, Jobs: true, Unmetered: true},
	}}
	p := &Pipeline{
		Configuration: func() *configuration.Configuration { return c },
		Dispatcher:    refuseAll{},
		Recorder:      &lastRecord{},
		Timer:         timer.NewService(),
	}
	for _, k := range []struct{ path, service, code string }{
		{"/a/1", "old", "other-service"},
		{"/a/1", "new", "no-upstream"}, // it reached the dispatcher
		{"/b/1", "old", "no-upstream"},
		{"/b/1", "new", "no-upstream"},
	} {
		_, err := p.Batch(t.Context(), upstream.Upstream{Service: k.service}, &call.Call{ID: "b", Path: k.path, Team: "kea", Batch: true, Arrived: time.Now()})
		f := refusal.Of(err)
		is.Equal(f.Code, k.code)
		is.Equal(f.Verdict, verdict.NotRun)
	}
}
