package upstreamapi

import (
	"testing"

	"github.com/matryer/is"
	"github.com/rs/zerolog"
	"github.com/valyala/fasthttp"

	"siskinrun/internal/data/cache"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/upstream"
)

// fakeRegistry records the messages it receives.
type fakeRegistry struct {
	announced []upstream.Upstream
	left      []string
	reports   []loadreport.Report
}

func (f *fakeRegistry) Announce(u upstream.Upstream) error {
	f.announced = append(f.announced, u)
	return nil
}

func (f *fakeRegistry) Leave(name string, _ uint64) error {
	f.left = append(f.left, name)
	return nil
}

func (f *fakeRegistry) Report(r loadreport.Report) error {
	f.reports = append(f.reports, r)
	return nil
}

func TestMessages(t *testing.T) {
	const good = `{"name":"u","address":"127.0.0.1:1","failure-domain":"a","kind":"engine","service":"s","slots":1}`
	for _, c := range []struct {
		name, secret, method, path, body string
		status                           int
	}{
		{"announcement", "s", "POST", "/v1/upstreams/announce", good, 204},
		{"leave", "s", "POST", "/v1/upstreams/leave", good, 204},
		{"load", "s", "POST", "/v1/upstreams/load", `{"upstream":"u","running":1}`, 204},
		{"cache", "s", "POST", "/v1/upstreams/cache-events", `{"upstream":"u","stored":[1]}`, 204},
		{"no secret", "", "POST", "/v1/upstreams/announce", good, 401},
		{"wrong secret", "t", "POST", "/v1/upstreams/announce", good, 401},
		{"wrong method", "s", "GET", "/v1/upstreams/announce", "", 405},
		{"wrong path", "s", "POST", "/v1/upstreams", good, 404},
		{"no port", "s", "POST", "/v1/upstreams/announce", `{"name":"u","address":"h","kind":"engine"}`, 400},
		{"no slots", "s", "POST", "/v1/upstreams/announce", `{"name":"u","address":"h:1","kind":"engine","service":"s","failure-domain":"a"}`, 400},
		{"bad JSON", "s", "POST", "/v1/upstreams/load", `{`, 400},
		{"negative load", "s", "POST", "/v1/upstreams/load", `{"upstream":"u","running":-1}`, 400},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := &fakeRegistry{}
			events := 0
			a := &Server{Secret: []byte("s"), Registry: r, Cache: func(cache.Event) { events++ }, Log: zerolog.Nop()}
			x := &fasthttp.RequestCtx{}
			x.Request.Header.SetMethod(c.method)
			x.Request.SetRequestURI(c.path)
			if c.secret != "" {
				x.Request.Header.Set("Authorization", "Bearer "+c.secret)
			}
			x.Request.SetBodyString(c.body)
			a.handle(x)
			is.Equal(x.Response.StatusCode(), c.status)
			taken := len(r.announced) + len(r.left) + len(r.reports) + events
			is.Equal(taken == 1, c.status == 204)
		})
	}
}
