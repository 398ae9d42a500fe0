package match

import (
	"slices"
	"strings"

	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/route"
)

// Match is the routes of one configuration, indexed by prefix and model.
type Match struct {
	// prefixes are the prefix routes of each host name, the longest first.
	prefixes map[string][]entry
	models   map[string]entry
}

type entry struct {
	name  string
	route route.Route
}

// NewMatch returns an index of the routes of a configuration.
func NewMatch(c *configuration.Configuration) *Match {
	m := &Match{prefixes: map[string][]entry{}, models: map[string]entry{}}
	for n, r := range c.Routes {
		if r.Model != "" {
			m.models[r.Model] = entry{n, r}
		}
		if r.Prefix != "" {
			m.prefixes[r.Host] = append(m.prefixes[r.Host], entry{n, r})
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

// Path returns the route with the longest prefix of a path, of those of the host name before those of any.
func (m *Match) Path(host, path string) (name string, r route.Route, ok bool) {
	if host != "" {
		if n, r, ok := longest(m.prefixes[host], path); ok {
			return n, r, true
		}
	}
	return longest(m.prefixes[""], path)
}

func longest(l []entry, path string) (name string, r route.Route, ok bool) {
	for _, e := range l {
		if under(path, e.route.Prefix) {
			return e.name, e.route, true
		}
	}
	return "", route.Route{}, false
}

// Model returns the route of a model name.
func (m *Match) Model(model string) (name string, r route.Route, ok bool) {
	e, ok := m.models[model]
	return e.name, e.route, ok
}

// Models returns the model names that have a route, in order.
func (m *Match) Models() []string {
	var l []string
	for n := range m.models {
		l = append(l, n)
	}
	slices.Sort(l)
	return l
}

// under reports whether a path lies under a prefix, at the border of a path segment.
func under(path, prefix string) bool {
	p := strings.TrimSuffix(prefix, "/")
	rest, ok := strings.CutPrefix(path, p)
	return ok && (rest == "" || rest[0] == '/')
}
