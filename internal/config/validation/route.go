package validation

import (
	"slices"
	"strings"

	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/route"
)

func (f *validator) routes(c *configuration.Configuration) {
	for _, n := range sorted(c.Routes) {
		f.route(c, n, c.Routes[n])
	}
	f.ambiguousRoutes(c)
}

func (f *validator) route(c *configuration.Configuration, n string, r route.Route) {
	p := "routes." + n
	f.name(p, n)
	f.services(c, p, r)
	f.checkRange(p+".attempts", int64(r.MaxAttempts), 0, maxAttempts)
	f.checkRange(p+".rank", int64(r.Rank), 0, maxRank)
	f.checkRange(p+".job-tokens", r.JobTokens, 0, maxUnits)
	f.checkRange(p+".price", r.Price, 1, maxPrice)
	f.checkRange(p+".token-price", r.TokenPrice, 0, maxPrice)
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
		f.prefixRoute(p, r)
	}
}

// services checks the services that a route leads to and their shares.
func (f *validator) services(c *configuration.Configuration, p string, r route.Route) {
	if len(r.Shares) == 0 {
		f.service(c, p+".service", r.Service)
		return
	}
	f.checkRange(p+".shares", int64(len(r.Shares)), 1, maxShares)
	var sum int64
	for _, n := range sorted(r.Shares) {
		f.service(c, p+".shares."+n, n)
		f.checkRange(p+".shares."+n, r.Shares[n], 0, maxUnits)
		sum += r.Shares[n]
	}
	if sum == 0 {
		f.add(p+".shares", "must add up to more than 0")
	}
}

// service checks a name, and that the service exists if the configuration lists any services.
func (f *validator) service(c *configuration.Configuration, field, n string) {
	f.name(field, n)
	if _, ok := c.Services[n]; !ok && len(c.Services) > 0 {
		f.add(field, "no service is named %q", n)
	}
}

func (f *validator) modelRoute(c *configuration.Configuration, p string, r route.Route) {
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

func (f *validator) prefixRoute(p string, r route.Route) {
	if r.Prefix[0] != '/' || strings.ContainsAny(r.Prefix, " ?#%\\") || strings.Contains(r.Prefix, "//") {
		f.add(p+".prefix", "must be a plain path such as /orders/")
	}
	if r.Host == "" && reservedPath(r.Prefix) {
		f.add(p+".prefix", "%q belongs to the callers' interface", r.Prefix)
	}
	if r.Version != "" {
		f.add(p+".version", "needs a model")
	}
	if r.Adapter != "" {
		f.add(p+".adapter", "needs a model")
	}
}

// reservedPath reports whether a path belongs to the callers' API.
func reservedPath(p string) bool {
	return strings.HasPrefix(p, "/v1/") || p == "/v1" || p == "/"
}

// ambiguousRoutes finds routes that match the same requests.
func (f *validator) ambiguousRoutes(c *configuration.Configuration) {
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
