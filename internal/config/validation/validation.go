package validation

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
	maxUnits     = 1 << 40 // of rates, bursts, shares and tokens of open items
	maxWeight    = 1 << 20
	maxPrice     = 1 << 30
	maxTokens    = 1 << 30
	maxEngines   = 1 << 16
	maxTeams     = 20_000
	maxKeys      = 50_000
	maxRoutes    = 5_000
	maxModels    = 5_000
	maxShares    = 64
	maxRank      = 1 << 16
	maxAttempts  = 64
	hashDigits   = 64 // hexadecimal digits of a SHA-256
	maxNameBytes = 64
	// edgeChars are allowed at both ends of a name, nameChars in between.
	edgeChars = "abcdefghijklmnopqrstuvwxyz0123456789"
	nameChars = edgeChars + "._-"
)

// Problem is one reason why a configuration is invalid.
type Problem struct {
	// Field is the path of the invalid field.
	Field string `json:"field"`
	// Message says what is wrong with it.
	Message string `json:"message"`
}

// Validate returns every problem of a configuration, in a stable order.
func Validate(c *configuration.Configuration) []Problem {
	f := &validator{}
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
	f.sharedSecrets(c, c.Keys)
	return f.problems
}

// ValidateDelta returns every problem of next, the result of applying d to a valid configuration.
func ValidateDelta(next *configuration.Configuration, d *delta.Delta) []Problem {
	f := &validator{}
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
		f.keysWithoutTeam(next, d.Teams.Removed)
	}
	if len(d.Keys.Set) > 0 {
		f.sharedSecrets(next, d.Keys.Set)
	}
	return f.problems
}

// CheckName returns why a name is invalid, or the empty string.
func CheckName(n string) string {
	t := strings.Trim(n, nameChars)
	if t == "" && n != "" && len(n) <= maxNameBytes && isEdgeByte(n[0]) && isEdgeByte(n[len(n)-1]) {
		return ""
	}
	return "must be a name of up to 64 small letters, digits, dots, hyphens and underscores"
}

func isEdgeByte(c byte) bool {
	return strings.IndexByte(edgeChars, c) >= 0
}

type validator struct {
	problems []Problem
}

func (f *validator) add(field, format string, args ...any) {
	f.problems = append(f.problems, Problem{Field: field, Message: fmt.Sprintf(format, args...)})
}

func (f *validator) name(field, n string) {
	if m := CheckName(n); m != "" {
		f.add(field, "%s", m)
	}
}

func (f *validator) checkRange(field string, v, low, high int64) {
	if v < low || v > high {
		f.add(field, "is %d, not %d to %d", v, low, high)
	}
}

func (f *validator) sizes(c *configuration.Configuration) {
	f.checkRange("teams", int64(len(c.Teams)), 0, maxTeams)
	f.checkRange("keys", int64(len(c.Keys)), 0, maxKeys)
	f.checkRange("routes", int64(len(c.Routes)), 0, maxRoutes)
	f.checkRange("models", int64(len(c.Models)), 0, maxModels)
}

func (f *validator) routes(c *configuration.Configuration) {
	for _, n := range sorted(c.Routes) {
		f.route(c, n, c.Routes[n])
	}
	f.ambiguousRoutes(c)
}

// keysWithoutTeam finds the keys of removed teams.
func (f *validator) keysWithoutTeam(c *configuration.Configuration, removed []string) {
	affected := map[string]key.Key{}
	for n, k := range c.Keys {
		if slices.Contains(removed, k.Team) {
			affected[n] = k
		}
	}
	for _, n := range sorted(affected) {
		f.key(c, n, affected[n])
	}
}

// sharedSecrets finds keys that share a secret with one of the given keys.
func (f *validator) sharedSecrets(c *configuration.Configuration, given map[string]key.Key) {
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

func (f *validator) team(n string, t team.Team) {
	p := "teams." + n
	f.name(p, n)
	f.checkRange(p+".rate", t.Rate, 1, maxUnits)
	f.checkRange(p+".burst", t.Burst, 1, maxUnits)
	f.checkRange(p+".weight", t.Weight, 1, maxWeight)
	f.checkRange(p+".stored-bytes", t.MaxStoredBytes, 0, maxUnits<<8)
}

func (f *validator) model(n string, m model.Model) {
	p := "models." + n
	f.name(p, n)
	f.checkRange(p+".context", m.ContextTokens, 1, maxTokens)
	f.checkRange(p+".replicas", int64(m.MinReplicas), 0, maxEngines)
	if len(m.Versions) == 0 {
		f.add(p+".versions", "must hold at least one version")
	}
	f.names(p+".versions", m.Versions)
	f.names(p+".adapters", m.Adapters)
}

func (f *validator) names(field string, l []string) {
	seen := map[string]bool{}
	for _, v := range l {
		f.name(field, v)
		if seen[v] {
			f.add(field, "holds %s twice", v)
		}
		seen[v] = true
	}
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

func (f *validator) key(c *configuration.Configuration, n string, k key.Key) {
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
