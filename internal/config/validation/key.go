package validation

import (
	"slices"
	"strings"

	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/key"
)

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
