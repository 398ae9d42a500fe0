package profile_test

import (
	"bytes"
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/config/operatorapi"
	"siskinrun/internal/measure/profile"
	"siskinrun/pkg/refusal"
)

// gzipMagic begins each profile in the binary format.
var gzipMagic = []byte{0x1f, 0x8b}

func TestProfiles(t *testing.T) {
	for _, c := range []struct {
		name, profile, seconds string
		code                   string
	}{
		{"heap", "heap", "", ""},
		{"goroutines", "goroutine", "", ""},
		{"processor", "cpu", "1", ""},
		{"unknown", "secrets", "", "unknown-profile"},
		{"not a number", "cpu", "x", "bad-parameter"},
		{"too long", "cpu", "3600", "bad-parameter"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := timer.NewService()
			g := group.NewGroup(t.Context())
			g.Go("timer", m.Run)
			p := &profile.Profiler{Timer: m}
			b, err := p.Serve(t.Context(), &operatorapi.Request{Query: func(n string) string {
				return map[string]string{"name": c.profile, "seconds": c.seconds}[n]
			}})
			if c.code != "" {
				is.Equal(refusal.Of(err).Code, c.code)
				return
			}
			is.NoErr(err)
			is.True(bytes.HasPrefix(b, gzipMagic))
		})
	}
}
