package directory

import (
	"slices"
	"strings"

	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/team"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/wire/router"
)

// Directory looks up teams and routes in the configuration in force.
type Directory struct {
	// Configuration returns the configuration in force.
	Configuration func() *configuration.Configuration
}

// Team returns the team with the given name.
func (d *Directory) Team(name string) (team.Team, bool) {
	t, ok := d.Configuration().Teams[name]
	return t, ok
}

// Target returns the name of the route for a model, or for an endpoint if model is empty, and whether its calls may be
// repeated.
func (d *Directory) Target(endpoint, model string) (target string, repeatable, ok bool) {
	m := router.NewRouter(d.Configuration())
	var r route.Route
	if model != "" {
		target, r, ok = m.MatchModel(model)
	} else {
		target, r, ok = m.MatchPath("", endpoint)
	}
	return target, r.Repeatable, ok
}

// Targets returns the names of the routes whose calls an upstream can serve, sorted.
func (d *Directory) Targets(u upstream.Upstream) []string {
	var l []string
	for n, r := range d.Configuration().Routes {
		if slices.Contains(r.Services(), u.Service) && (r.Model == "" || hasModel(u, r)) {
			l = append(l, n)
		}
	}
	slices.Sort(l)
	return l
}

// hasModel reports whether an engine has loaded the model, version and adapter of a route.
func hasModel(u upstream.Upstream, r route.Route) bool {
	return slices.ContainsFunc(u.Models, func(s string) bool {
		m, a, _ := strings.Cut(s, "+")
		n, v, _ := strings.Cut(m, "@")
		return n == r.Model && a == r.Adapter && (r.Version == "" || v == r.Version)
	})
}
