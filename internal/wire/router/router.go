package router

import (
	"slices"
	"strings"

	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/route"
)

// Router indexes the routes of one configuration by path prefix and by model.
type Router struct {
	// prefixes holds the prefix routes of each host name, longest prefix first.
	prefixes map[string][]entry
	models   map[string]entry
}

type entry struct {
	name  string
	route route.Route
}

// NewRouter returns a router for the routes of a configuration.
func NewRouter(c *configuration.Configuration) *Router {
	m := &Router{prefixes: map[string][]entry{}, models: map[string]entry{}}
	for n, r := range c.Routes {
		if r.Model != "" {
			m.models[r.Model] = entry{n, r}
		}
		if r.Prefix != "" {
			h := hostName(r.Host)
			m.prefixes[h] = append(m.prefixes[h], entry{n, r})
		}
	}
	for _, l := range m.prefixes {
		slices.SortFunc(l, func(a, b entry) int {
			if d := len(b.route.Prefix) - len(a.route.Prefix); d != 0 {
				return d
			}
			return strings.Compare(a.name, b.name)
		})
	}
	return m
}

// MatchPath returns the route with the longest prefix of a path; routes of the host name precede those without one.
func (m *Router) MatchPath(host, path string) (name string, r route.Route, ok bool) {
	return m.match(host, path, anyRoute)
}

// MatchJobPath returns the route that MatchPath would return if there were no other routes than those for jobs.
func (m *Router) MatchJobPath(host, path string) (name string, r route.Route, ok bool) {
	return m.match(host, path, forJobs)
}

func anyRoute(route.Route) bool { return true }

func forJobs(r route.Route) bool { return r.Jobs }

func (m *Router) match(host, path string, eligible func(route.Route) bool) (name string, r route.Route, ok bool) {
	if host != "" {
		if n, r, ok := longestPrefix(m.prefixes[hostName(host)], path, eligible); ok {
			return n, r, true
		}
	}
	return longestPrefix(m.prefixes[""], path, eligible)
}

// hostName returns the host name of a Host header without its port, in lower case.
func hostName(host string) string {
	if i := strings.LastIndexByte(host, ':'); i > strings.LastIndexByte(host, ']') {
		host = host[:i]
	}
	return strings.ToLower(host)
}

func longestPrefix(l []entry, path string, eligible func(route.Route) bool) (name string, r route.Route, ok bool) {
	for _, e := range l {
		if eligible(e.route) && hasPathPrefix(path, e.route.Prefix) {
			return e.name, e.route, true
		}
	}
	return "", route.Route{}, false
}

// MatchModel returns the route of a model.
func (m *Router) MatchModel(model string) (name string, r route.Route, ok bool) {
	e, ok := m.models[model]
	return e.name, e.route, ok
}

// Models returns the names of the models that have a route, sorted.
func (m *Router) Models() []string {
	var l []string
	for n := range m.models {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

// hasPathPrefix reports whether a prefix begins a path. A prefix without a slash at its end must end at the end of a segment.
func hasPathPrefix(path, prefix string) bool {
	rest, ok := strings.CutPrefix(path, prefix)
	return ok && (strings.HasSuffix(prefix, "/") || rest == "" || rest[0] == '/')
}
