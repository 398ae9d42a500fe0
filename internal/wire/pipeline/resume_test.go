package pipeline

import (
	"context"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/call"
	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/streamstart"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

// knownStreams maps calls to what began their streams.
type knownStreams map[string]streamstart.Start

func (k knownStreams) Find(_ context.Context, call string) (streamstart.Start, bool) {
	s, ok := k[call]
	return s, ok
}

// versions are the versions that serve, by service.
type versions map[string]string

func (v versions) Serves(d demand.Demand) bool {
	return v[d.Service] == d.Version
}

func TestResumedStreamIsBoundToItsServiceAndVersion(t *testing.T) {
	p := &Pipeline{
		Streams: knownStreams{
			"a":     {Service: "s1", Version: "v1"},
			"b":     {Service: "s2", Version: "v1"},
			"moved": {Service: "s3", Version: "v1"},
			"gone":  {Service: "s1", Version: "v0"},
		},
		Upstreams: versions{"s1": "v1", "s2": "v1", "s3": "v1"},
	}
	for _, c := range []struct {
		name, resumes string
		offset        int
		service, code string
	}{
		{"new call", "", 0, "s1", ""},
		{"attempt named without an event", "b", 0, "s1", ""},
		{"first service of a split route", "a", 4, "s1", ""},
		{"second service of a split route", "b", 4, "s2", ""},
		{"unknown attempt", "x", 4, "", "unknown-stream"},
		{"no attempt named", "", 4, "", "unknown-stream"},
		{"route has left the service", "moved", 4, "", "stream-service-gone"},
		{"version has gone", "gone", 4, "", "stream-version-gone"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := &call.Call{Offset: c.offset, Resumes: c.resumes, RouteConfig: route.Route{Service: "s1", Shares: map[string]int64{"s1": 1, "s2": 1}}}
			err := p.bindStream(t.Context(), q)
			if c.code != "" {
				f := refusal.Of(err)
				is.Equal(f.Code, c.code)
				is.Equal(f.Status, 503)
				is.Equal(f.Verdict, verdict.NotRun)
				return
			}
			is.NoErr(err)
			is.Equal(q.RouteConfig.Service, c.service)
			is.Equal(q.Start.Known(), c.offset > 0)
		})
	}
}
