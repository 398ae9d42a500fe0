package roster

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

func leaver() upstream.Upstream {
	return upstream.Upstream{Name: "u", Address: "x", Service: "s", Incarnation: 1}
}

func TestAcknowledgedLeaveIsKnownToOtherHosts(t *testing.T) {
	is := is.New(t)
	l, _ := newRosters(t, 3)
	eventually(t, "no peers", func() bool { return l[0].Depart(t.Context(), leaver()) == nil })
	for _, r := range l {
		u := r.Upstreams()
		is.Equal(len(u), 1)
		is.True(u[0].Leaving)
	}
	is.NoErr(l[1].End(t.Context(), "u", 1)) // a resend to another host
}

func TestLeaveThatNobodyElseKnowsIsNotAcknowledged(t *testing.T) {
	is := is.New(t)
	l, stop := newRosters(t, 3)
	eventually(t, "no peers", func() bool { return l[0].Depart(t.Context(), leaver()) == nil })
	stop(1)
	stop(2)
	eventually(t, "the silent hosts are not noticed", func() bool { return !l[0].Alive("h1") && !l[0].Alive("h2") })
	r := refusal.Of(l[0].End(t.Context(), "v", 1))
	is.Equal(r.Code, "leave-unconfirmed")
	is.Equal(r.Verdict, verdict.MayHaveRun)
	is.True(r.RetryAfter > 0)
}

func TestLeaveOnTheOnlyHostIsAcknowledged(t *testing.T) {
	is := is.New(t)
	l, _ := newRosters(t, 1)
	eventually(t, "the host does not start", func() bool { return l[0].Depart(t.Context(), leaver()) == nil })
	is.True(l[0].Upstreams()[0].Leaving)
}
