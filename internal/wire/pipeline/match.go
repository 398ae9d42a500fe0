package pipeline

import (
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"siskinrun/internal/data/call"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/route"
	"siskinrun/internal/wire/router"
	"siskinrun/pkg/refusal"
)

// routerCache caches the router of the newest configuration.
type routerCache struct {
	current atomic.Pointer[cachedRouter]
}

type cachedRouter struct {
	configuration *configuration.Configuration
	router        *router.Router
}

func (r *routerCache) router(c *configuration.Configuration) *router.Router {
	l := r.current.Load()
	if l != nil && l.configuration == c {
		return l.router
	}
	n := &cachedRouter{c, router.NewRouter(c)}
	r.current.Store(n)
	return n.router
}

// Models returns the names of the models that have a route.
func (p *Pipeline) Models() []string {
	return p.routes.router(p.Configuration()).Models()
}

// match finds the route of a call and sets its cost, deadline and model.
func (p *Pipeline) match(c *call.Call) error {
	n, r, err := p.FindRoute(c)
	if err != nil {
		return err
	}
	r.Service = r.PickService(rand.Uint64())
	c.Record.Configuration = p.Configuration().Version
	c.Record.Route = n
	p.Prepare(c, n, r, func(r route.Route) string { return p.Rollout.Version(r) })
	return nil
}

// Prepare sets the route of a call, its cost, deadline and model; version returns the version of a route's model.
func (p *Pipeline) Prepare(c *call.Call, name string, r route.Route, version func(r route.Route) string) {
	c.Route = name
	c.RouteConfig = r
	c.Cost = r.Cost(c.MaxTokens)
	d := r.Timeout.Duration()
	if d <= 0 {
		d = p.DefaultTimeout
	}
	if c.Batch && r.JobWindow > 0 {
		d = r.JobWindow.Duration()
	}
	if c.ClientTimeout > 0 {
		d = min(d, c.ClientTimeout)
	}
	c.Deadline = c.Arrived.Add(d)
	if r.Model != "" {
		c.Model = modelSpec(r, version(r))
	}
}

// RouteOf finds the route of a call in the configuration in force.
func (p *Pipeline) RouteOf(c *call.Call) (name string, ok bool) {
	name, _, err := p.FindRoute(c)
	return name, err == nil
}

// FindRoute returns the route of a call in the configuration in force and its name; the error is a refusal.
func (p *Pipeline) FindRoute(c *call.Call) (string, route.Route, error) {
	v := p.Configuration()
	if len(v.Routes) == 0 {
		return "", route.Route{}, errNoConfiguration.WithJitter()
	}
	m := p.routes.router(v)
	if c.Model != "" {
		n, r, ok := m.MatchModel(c.Model)
		if !ok {
			return "", r, refusal.NewNotRun(404, "unknown-model", "no route serves this model")
		}
		return n, r, nil
	}
	path, _, _ := strings.Cut(c.Path, "?")
	match := m.MatchPath
	if c.InlineItem {
		match = m.MatchJobPath
	}
	n, r, ok := match(c.Host, path)
	if !ok {
		return "", r, refusal.NewNotRun(404, "unknown-route", "no route matches this path")
	}
	return n, r, nil
}

// configurationRetryAfter is how long a host that starts together with the control hosts needs to receive a
// configuration, including their election.
const configurationRetryAfter = 800 * time.Millisecond

// errNoConfiguration refuses calls on a host that has not received a configuration yet.
var errNoConfiguration = refusal.NewNotRun(503, "no-configuration", "this host has not received a configuration yet").WithRetryAfter(configurationRetryAfter)

// modelSpec returns what an engine must have loaded for a route, as model[@version][+adapter].
func modelSpec(r route.Route, version string) string {
	s := r.Model
	if version != "" {
		s += "@" + version
	}
	if r.Adapter != "" {
		s += "+" + r.Adapter
	}
	return s
}
