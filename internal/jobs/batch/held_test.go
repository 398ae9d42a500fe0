package batch

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestClaimsNeedNotWaitOnceAllHostsHaveAnswered guards against batch work that stands still after all hosts have lost power, until
// leases of former leaders would have ended, and against claims that are granted while a silent host may hold them.
func TestClaimsNeedNotWaitOnceAllHostsHaveAnswered(t *testing.T) {
	is := is.New(t)
	c, b, _ := newHosts(t)
	c.ledSince = time.Now()
	c.silent = "cut-off"
	hosts := []string{"one", c.silent}
	b.ClaimHosts = func() []string { return hosts }
	b.Held = func() (string, []string, []string) { return "one", []string{"held"}, nil }
	claim := func(name, holder string) error {
		_, _, err := b.Claim(t.Context(), name, holder, MaxClaimTTL, false)
		return err
	}
	is.True(claim("free", "two") != nil)
	is.True(claim("held", "two") != nil)
	b.completeClaims(t.Context())
	is.True(claim("free", "two") != nil) // the silent host may hold it
	hosts = hosts[:1]
	b.completeClaims(t.Context())
	is.NoErr(claim("free", "two"))
	is.True(claim("held", "two") != nil)
	is.NoErr(claim("held", "one"))
}
