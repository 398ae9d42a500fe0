package pipe

import (
	"math/rand/v2"
	"strings"
	"sync/atomic"
	"time"

	"siskinrun/internal/data/call"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/route"
	"siskinrun/internal/wire/match"
	"siskinrun/pkg/refusal"
)

// routes keeps the index of the newest configuration.
type routes struct {
	last atomic.Pointer[index]
}

type index struct {
	of    *configuration.Configuration
	match *match.Match
}

func (r *routes) index(c *configuration.Configuration) *match.Match {
	l := r.last.Load()
	if l != nil && l.of == c {
		return l.match
	}
	n := &index{c, match.NewMatch(c)}
	r.last.Store(n)
	return n.match
}

// Models returns the names of the models that have a route.
func (p *Pipe) Models() []string {
	return p.routes.index(p.View()).Models()
}

// match finds the route of a call and settles its price, deadline and model.
func (p *Pipe) match(c *call.Call) error {
	n, r, err := p.find(c)
	if err != nil {
		return err
	}
	r.Service = r.Pick(rand.Uint64())
	c.Record.Configuration = p.View().Version
	c.Route = n
	c.Rule = r
	c.Record.Route = n
	c.Cost = r.Cost(c.Tokens)
	d := r.Timeout.Duration()
	if d <= 0 {
		d = p.TimeoutDefault
	}
	if c.Batch && r.JobWindow > 0 {
		d = r.JobWindow.Duration()
	}
	if c.Patience > 0 {
		d = min(d, c.Patience)
	}
	c.Deadline = c.Arrived.Add(d)
	if r.Model != "" {
		c.Model = p.loaded(r)
	}
	return nil
}

func (p *Pipe) find(c *call.Call) (string, route.Route, error) {
	v := p.View()
	if len(v.Routes) == 0 {
		return "", route.Route{}, unconfigured.WithSpread()
	}
	m := p.routes.index(v)
	if c.Model != "" {
		n, r, ok := m.Model(c.Model)
		if !ok {
			return "", r, refusal.NewNotRun(404, "unknown-model", "no route leads to this model")
		}
		return n, r, nil
	}
	path, _, _ := strings.Cut(c.Path, "?")
	n, r, ok := m.Path(c.Host, path)
	if !ok {
		return "", r, refusal.NewNotRun(404, "unknown-route", "no route leads to this path")
	}
	return n, r, nil
}

// configurationPause is how long a host that starts beside control hosts needs to hear of a configuration, their
// election included.
const configurationPause = 800 * time.Millisecond

// unconfigured refuses calls on a host that has not heard of any configuration yet.
var unconfigured = refusal.NewNotRun(503, "no-configuration", "this host knows no configuration yet").WithRetryAfter(configurationPause)

// loaded returns what an engine must have loaded for a route.
func (p *Pipe) loaded(r route.Route) string {
	s := r.Model
	if v := p.Rollout.Version(r); v != "" {
		s += "@" + v
	}
	if r.Adapter != "" {
		s += "+" + r.Adapter
	}
	return s
}
