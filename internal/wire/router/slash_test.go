package router_test

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/configuration"
	"siskinrun/internal/data/route"
	"siskinrun/internal/wire/router"
)

// TestPrefixBeginsThePath guards against a route that takes paths which its prefix does not begin, such as the path that is
// shorter than the prefix by the last slash.
func TestPrefixBeginsThePath(t *testing.T) {
	m := router.NewRouter(&configuration.Configuration{Routes: map[string]route.Route{
		"app":    {Host: "h.example", Prefix: "/p/"},
		"audit":  {Host: "h.example", Prefix: "/p/2f/"},
		"near":   {Host: "h.example", Prefix: "/p/2f1/"},
		"root":   {Host: "all.example", Prefix: "/"},
		"within": {Host: "all.example", Prefix: "/p/"},
		"plain":  {Prefix: "/plain"},
		"mixed":  {Host: "Mixed.Example", Prefix: "/m/"},
		"six":    {Host: "[::1]", Prefix: "/six/"},
		"jobs":   {Host: "h.example", Prefix: "/jobs/", Jobs: true},
	}})
	for _, c := range []struct{ host, path, want string }{
		{"h.example", "/p/2f", "app"},
		{"h.example", "/p/2f/", "audit"},
		{"h.example", "/p/2f/a", "audit"},
		{"h.example", "/p/2f//", "audit"},
		{"h.example", "/p/2f%2F", "app"},
		{"h.example", "/p/2f%2fa", "app"},
		{"h.example", "/p/2f/.", "audit"},
		{"h.example", "/p/2f1", "app"},
		{"h.example", "/p/2f1/", "near"},
		{"h.example", "/p/2f12/", "app"},
		{"h.example", "/p/", "app"},
		{"h.example", "/p//2f/", "app"},
		{"h.example", "/p", ""},
		{"h.example", "/p2/", ""},
		{"h.example", "//p/", ""},
		{"h.example", "/jobs", ""},
		{"all.example", "/p", "root"},
		{"all.example", "/p/", "within"},
		{"all.example", "/", "root"},
		{"h.example", "/plain", "plain"},
		{"h.example", "/plain/", "plain"},
		{"h.example", "/plain/a", "plain"},
		{"h.example", "/plainer", ""},
		{"h.example:8405", "/p/2f", "app"},
		{"H.Example", "/p/2f/", "audit"},
		{"H.EXAMPLE:80", "/p/a", "app"},
		{"h.example.", "/p/a", ""},
		{"mixed.example", "/m/", "mixed"},
		{"[::1]:80", "/six/", "six"},
		{"[::1]", "/six/", "six"},
	} {
		t.Run(c.host+c.path, func(t *testing.T) {
			is := is.New(t)
			n, _, ok := m.MatchPath(c.host, c.path)
			is.Equal(n, c.want)
			is.Equal(ok, c.want != "")
		})
	}
	is := is.New(t)
	_, _, ok := m.MatchJobPath("h.example", "/jobs")
	is.True(!ok)
	n, _, ok := m.MatchJobPath("h.example", "/jobs/1")
	is.True(ok)
	is.Equal(n, "jobs")
}
