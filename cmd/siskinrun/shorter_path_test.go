package main

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/platform/wire"
)

// TestShorterPathKeepsItsRoute guards against a new route that takes the requests for its prefix without the last slash, which
// another route or none takes.
func TestShorterPathKeepsItsRoute(t *testing.T) {
	is := is.New(t)
	p, ctx := startPlatformFleet(t, platformHosts(2), `"keeps": ["configuration"],`)
	f := p.newMoved(ctx)
	route := `{"name": %q, "host": %q, "path_prefix": %q, "route_type": "streaming", "timeout_ms": 4000, "target_latency_ms": 300,` +
		`"service": %q, "max_attempts": 1, "public": true, "gap_target_ms": 400}`
	service := `{"name": %q, "health_path": "/healthz", "max_conns": 200, "protocol": "h1", "engine": {"slots": 8}}`
	install := func(version int, routes ...string) {
		f.await(ctx, "configuration", func() error {
			return f.post(ctx, wire.PathConfigReplace, fmt.Sprintf(`{"version": %d, "routes": [%s], "services": [`+service+`, `+service+`], "limits": {}}`,
				version, strings.Join(routes, ","), "lm", "barn"))
		})
		is.NoErr(f.timer.Sleep(ctx, time.Second))
	}
	first := fmt.Sprintf(route, "app", streamHost, "/p/", "lm")
	install(200, first)
	install(201, first, fmt.Sprintf(route, "audit", streamHost, "/p/2f/", "barn"))
	for i, c := range []struct{ path, service string }{
		{"/p/2f", "lm"},
		{"/p/2f?x=/", "lm"},
		{"/p/2f?x/", "lm"},
		{"/p/2f%2F", "lm"},
		{"/p/2f/", "barn"},
		{"/p/2f/?x", "barn"},
		{"/p/2f/a", "barn"},
		{"/p/", "lm"},
		{"/p", ""},
		{"/p?x=/", ""},
	} {
		for k, h := range f.entries {
			s, err := f.open(ctx, h, streamRequest{id: fmt.Sprint("path-", i, "-", k), path: c.path})
			is.NoErr(err)
			if c.service == "" {
				is.Equal(s.status, http.StatusNotFound)
				continue
			}
			is.Equal(s.status, http.StatusOK)
			is.NoErr(s.read(1))
			is.Equal(s.data[0], c.service+"-1") // what the workers of the service answer
			_ = s.body.Close()
		}
	}
}
