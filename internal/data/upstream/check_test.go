package upstream_test

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/upstream"
)

func TestCheck(t *testing.T) {
	sound := upstream.Upstream{Name: "u", Address: "10.0.0.1:80", FailureDomain: "a", Service: "s", Version: "v1", Slots: 8}
	long := strings.Repeat("x", upstream.MaxTextBytes+1)
	for _, c := range []struct {
		name   string
		change func(u *upstream.Upstream)
		ok     bool
	}{
		{"sound", func(*upstream.Upstream) {}, true},
		{"host name", func(u *upstream.Upstream) { u.Address = "engine-1.example:8080" }, true},
		{"IPv6", func(u *upstream.Upstream) { u.Address = "[::1]:8080" }, true},
		{"no version", func(u *upstream.Upstream) { u.Version = "" }, true},
		{"end of an incarnation", func(u *upstream.Upstream) { *u = upstream.Upstream{Name: "u", Leaving: true} }, true},
		{"end without a name", func(u *upstream.Upstream) { *u = upstream.Upstream{Leaving: true} }, false},
		{"no name", func(u *upstream.Upstream) { u.Name = "" }, false},
		{"long name", func(u *upstream.Upstream) { u.Name = long }, false},
		{"name that is no text", func(u *upstream.Upstream) { u.Name = "\xff\xfe" }, false},
		{"name of two lines", func(u *upstream.Upstream) { u.Name = "a\nb" }, false},
		{"version that is no text", func(u *upstream.Upstream) { u.Version = "\xff" }, false},
		{"long failure domain", func(u *upstream.Upstream) { u.FailureDomain = long }, false},
		{"no service", func(u *upstream.Upstream) { u.Service = "" }, false},
		{"no slots", func(u *upstream.Upstream) { u.Slots = 0 }, false},
		{"negative slots", func(u *upstream.Upstream) { u.Slots = -1 }, false},
		{"too many slots", func(u *upstream.Upstream) { u.Slots = upstream.MaxSlots + 1 }, false},
		{"cold", func(u *upstream.Upstream) { u.Cold = duration.Duration(3 * time.Second) }, true},
		{"cold for a negative time", func(u *upstream.Upstream) { u.Cold = -1 }, false},
		{"cold for too long", func(u *upstream.Upstream) { u.Cold = duration.Duration(upstream.MaxCold) + 1 }, false},
		{"no address", func(u *upstream.Upstream) { u.Address = "" }, false},
		{"no host", func(u *upstream.Upstream) { u.Address = ":80" }, false},
		{"port zero", func(u *upstream.Upstream) { u.Address = "10.0.0.1:0" }, false},
		{"port out of range", func(u *upstream.Upstream) { u.Address = "10.0.0.1:65536" }, false},
		{"signed port", func(u *upstream.Upstream) { u.Address = "10.0.0.1:+80" }, false},
		{"port with zeros", func(u *upstream.Upstream) { u.Address = "10.0.0.1:080" }, false},
		{"port by name", func(u *upstream.Upstream) { u.Address = "10.0.0.1:http" }, false},
		{"leaving at an odd address", func(u *upstream.Upstream) { u.Leaving, u.Address = true, "10.0.0.1:x" }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			u := sound
			c.change(&u)
			is.New(t).Equal(u.Check() == nil, c.ok)
		})
	}
}
