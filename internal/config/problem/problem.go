package problem

import (
	"fmt"
	"slices"
	"sort"
	"strings"

	"siskinrun/internal/config/delta"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
	"siskinrun/internal/data/model"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/team"
)

const (
	maxUnits   = 1 << 40
	maxWeight  = 1 << 20
	maxPrice   = 1 << 30
	maxTokens  = 1 << 30
	maxEngines = 1 << 16
	maxTeams   = 20_000
	maxKeys    = 50_000
	maxRoutes  = 5_000
	maxModels  = 5_000
	maxShares  = 64
	maxRank    = 1 << 16
	maxSent    = 64
	hashDigits = 64
	nameBytes  = 64
	edges      = "abcdefghijklmnopqrstuvwxyz0123456789"
	inner      = edges + "._-"
)

// Problem is one reason why a configuration cannot be in force.
type Problem struct {
	// Field is the path of the field that is wrong.
	Field string `json:"field"`
	// Message says what is wrong with it.
	Message string `json:"message"`
}

// Find returns every problem of a configuration in the order of its fields.
func Find(c *configuration.Configuration) []Problem {
	f := &finder{}
	f.sizes(c)
	for _, n := range sorted(c.Teams) {
		f.team(n, c.Teams[n])
	}
	for _, n := range sorted(c.Models) {
		f.model(n, c.Models[n])
	}
	f.routes(c)
	for _, n := range sorted(c.Keys) {
		f.key(c, n, c.Keys[n])
	}
	f.twins(c, c.Keys)
	return f.found
}

// Next returns every problem of a configuration to which a delta has led from one without any.
func Next(next *configuration.Configuration, d *delta.Delta) []Problem {
	f := &finder{}
	f.sizes(next)
	for _, n := range sorted(d.Teams.Set) {
		f.team(n, next.Teams[n])
	}
	for _, n := range sorted(d.Models.Set) {
		f.model(n, next.Models[n])
	}
	if !d.Models.IsZero() || !d.Routes.IsZero() || !d.Services.IsZero() {
		f.routes(next)
	}
	for _, n := range sorted(d.Keys.Set) {
		f.key(next, n, next.Keys[n])
	}
	if len(d.Teams.Removed) > 0 {
		f.orphans(next, d.Teams.Removed)
	}
	if len(d.Keys.Set) > 0 {
		f.twins(next, d.Keys.Set)
	}
	return f.found
}

// Name returns what is wrong with a name, or nothing.
func Name(n string) string {
	t := strings.Trim(n, inner)
	if t == "" && n != "" && len(n) <= nameBytes && edge(n[0]) && edge(n[len(n)-1]) {
		return ""
	}
	return "must be a name of up to 64 small letters, digits, dots, hyphens and underscores"
}

func edge(c byte) bool {
	return strings.IndexByte(edges, c) >= 0
}

type finder struct {
	found []Problem
}

func (f *finder) add(field, format string, args ...any) {
	f.found = append(f.found, Problem{Field: field, Message: fmt.Sprintf(format, args...)})
}

func (f *finder) name(field, n string) {
	if m := Name(n); m != "" {
		f.add(field, "%s", m)
	}
}

func (f *finder) bound(field string, v, low, high int64) {
	if v < low || v > high {
		f.add(field, "is %d, not %d to %d", v, low, high)
	}
}

func (f *finder) sizes(c *configuration.Configuration) {
	f.bound("teams", int64(len(c.Teams)), 0, maxTeams)
	f.bound("keys", int64(len(c.Keys)), 0, maxKeys)
	f.bound("routes", int64(len(c.Routes)), 0, maxRoutes)
	f.bound("models", int64(len(c.Models)), 0, maxModels)
}

func (f *finder) routes(c *configuration.Configuration) {
	for _, n := range sorted(c.Routes) {
		f.route(c, n, c.Routes[n])
	}
	f.clashes(c)
}

// orphans finds keys of teams that are removed.
func (f *finder) orphans(c *configuration.Configuration, removed []string) {
	gone := map[string]key.Key{}
	for n, k := range c.Keys {
		if slices.Contains(removed, k.Team) {
			gone[n] = k
		}
	}
	for _, n := range sorted(gone) {
		f.key(c, n, gone[n])
	}
}

// twins finds keys that share a secret with one of those given.
func (f *finder) twins(c *configuration.Configuration, given map[string]key.Key) {
	first := make(map[string]string, len(given))
	for _, k := range given {
		first[k.Hash] = ""
	}
	var later []string
	for n, k := range c.Keys {
		o, ok := first[k.Hash]
		if !ok {
			continue
		}
		if o == "" {
			first[k.Hash] = n
			continue
		}
		first[k.Hash] = min(o, n)
		later = append(later, max(o, n))
	}
	slices.Sort(later)
	for _, n := range later {
		f.add("keys."+n+".hash", "is that of key %s", first[c.Keys[n].Hash])
	}
}

func (f *finder) team(n string, t team.Team) {
	p := "teams." + n
	f.name(p, n)
	f.bound(p+".rate", t.Rate, 1, maxUnits)
	f.bound(p+".burst", t.Burst, 1, maxUnits)
	f.bound(p+".weight", t.Weight, 1, maxWeight)
	f.bound(p+".stored-bytes", t.StoredBytes, 0, maxUnits<<8)
}

func (f *finder) model(n string, m model.Model) {
	p := "models." + n
	f.name(p, n)
	f.bound(p+".context", m.Context, 1, maxTokens)
	f.bound(p+".replicas", int64(m.Replicas), 0, maxEngines)
	if len(m.Versions) == 0 {
		f.add(p+".versions", "must hold at least one version")
	}
	f.list(p+".versions", m.Versions)
	f.list(p+".adapters", m.Adapters)
}

func (f *finder) list(field string, l []string) {
	seen := map[string]bool{}
	for _, v := range l {
		f.name(field, v)
		if seen[v] {
			f.add(field, "holds %s twice", v)
		}
		seen[v] = true
	}
}

func (f *finder) route(c *configuration.Configuration, n string, r route.Route) {
	p := "routes." + n
	f.name(p, n)
	f.services(c, p, r)
	f.bound(p+".attempts", int64(r.Attempts), 0, maxSent)
	f.bound(p+".rank", int64(r.Rank), 0, maxRank)
	f.bound(p+".job-tokens", r.JobTokens, 0, maxUnits)
	f.bound(p+".price", r.Price, 1, maxPrice)
	f.bound(p+".token-price", r.TokenPrice, 0, maxPrice)
	if r.Timeout <= 0 {
		f.add(p+".timeout", "must be longer than 0s")
	}
	if r.FirstToken < 0 || r.BetweenTokens < 0 {
		f.add(p+".first-token", "must not be negative")
	}
	switch {
	case r.Prefix == "" && r.Model == "":
		f.add(p, "needs a prefix or a model")
	case r.Prefix != "" && r.Model != "":
		f.add(p, "cannot have both a prefix and a model")
	case r.Model != "":
		f.modelRoute(c, p, r)
	default:
		f.plainRoute(p, r)
	}
}

// services checks where a route leads to.
func (f *finder) services(c *configuration.Configuration, p string, r route.Route) {
	if len(r.Shares) == 0 {
		f.service(c, p+".service", r.Service)
		return
	}
	f.bound(p+".shares", int64(len(r.Shares)), 1, maxShares)
	var sum int64
	for _, n := range sorted(r.Shares) {
		f.service(c, p+".shares."+n, n)
		f.bound(p+".shares."+n, r.Shares[n], 0, maxUnits)
		sum += r.Shares[n]
	}
	if sum == 0 {
		f.add(p+".shares", "must add up to more than 0")
	}
}

// service checks a name, and that the service is known where services are listed.
func (f *finder) service(c *configuration.Configuration, field, n string) {
	f.name(field, n)
	if _, ok := c.Services[n]; !ok && len(c.Services) > 0 {
		f.add(field, "no service is named %q", n)
	}
}

func (f *finder) modelRoute(c *configuration.Configuration, p string, r route.Route) {
	m, ok := c.Models[r.Model]
	if !ok {
		f.add(p+".model", "no model is named %q", r.Model)
		return
	}
	if r.Version != "" && !slices.Contains(m.Versions, r.Version) {
		f.add(p+".version", "model %s has no version %q", r.Model, r.Version)
	}
	if r.Adapter != "" && !slices.Contains(m.Adapters, r.Adapter) {
		f.add(p+".adapter", "model %s has no adapter %q", r.Model, r.Adapter)
	}
}

func (f *finder) plainRoute(p string, r route.Route) {
	if r.Prefix[0] != '/' || strings.ContainsAny(r.Prefix, " ?#%\\") || strings.Contains(r.Prefix, "//") {
		f.add(p+".prefix", "must be a plain path such as /orders/")
	}
	if r.Host == "" && ownPath(r.Prefix) {
		f.add(p+".prefix", "%q belongs to the callers' interface", r.Prefix)
	}
	if r.Version != "" {
		f.add(p+".version", "needs a model")
	}
	if r.Adapter != "" {
		f.add(p+".adapter", "needs a model")
	}
}

// ownPath reports whether a path belongs to the product's own interface.
func ownPath(p string) bool {
	return strings.HasPrefix(p, "/v1/") || p == "/v1" || p == "/"
}

// clashes finds routes that one request would match alike.
func (f *finder) clashes(c *configuration.Configuration) {
	seen := map[string]string{}
	for _, n := range sorted(c.Routes) {
		r := c.Routes[n]
		field, v := "prefix", strings.TrimRight(r.Prefix, "/")
		if r.Model != "" {
			field, v = "model", r.Model
		}
		if v == "" && r.Host == "" {
			continue
		}
		k := r.Host + " " + field + " " + v
		if o, ok := seen[k]; ok {
			f.add("routes."+n+"."+field, "%q is that of route %s", v, o)
			continue
		}
		seen[k] = n
	}
}

func (f *finder) key(c *configuration.Configuration, n string, k key.Key) {
	p := "keys." + n
	f.name(p, n)
	if k.ID != n {
		f.add(p+".id", "must be %q", n)
	}
	if _, ok := c.Teams[k.Team]; !ok {
		f.add(p+".team", "no team is named %q", k.Team)
	}
	if len(k.Hash) != hashDigits || strings.Trim(k.Hash, "0123456789abcdef") != "" {
		f.add(p+".hash", "must be a hexadecimal SHA-256")
	}
}

func sorted[T any](m map[string]T) []string {
	n := make([]string, 0, len(m))
	for k := range m {
		n = append(n, k)
	}
	sort.Strings(n)
	return n
}
