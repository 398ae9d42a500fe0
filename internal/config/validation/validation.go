package validation

import (
	"fmt"
	"sort"
	"strings"

	"siskinrun/internal/config/delta"
	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/model"
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

func sorted[T any](m map[string]T) []string {
	n := make([]string, 0, len(m))
	for k := range m {
		n = append(n, k)
	}
	sort.Strings(n)
	return n
}
