package gossip

import (
	"testing"

	"github.com/matryer/is"

	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

func leavingUpstream() upstream.Upstream {
	return upstream.Upstream{Name: "u", Address: "x:80", Service: "s", Slots: 1, Incarnation: 1}
}

func TestAcknowledgedLeaveIsKnownToOtherHosts(t *testing.T) {
	is := is.New(t)
	l, _ := newServices(t, 3)
	eventually(t, "leave is not acknowledged", func() bool { return l[0].AnnounceLeave(t.Context(), leavingUpstream()) == nil })
	for _, r := range l {
		u := r.Upstreams()
		is.Equal(len(u), 1)
		is.True(u[0].Leaving)
	}
	is.NoErr(l[1].EndIncarnation(t.Context(), "u", 1)) // a resend to another host
}

func TestUnconfirmedLeaveIsNotAcknowledged(t *testing.T) {
	is := is.New(t)
	l, stop := newServices(t, 3)
	eventually(t, "leave is not acknowledged", func() bool { return l[0].AnnounceLeave(t.Context(), leavingUpstream()) == nil })
	stop(1)
	stop(2)
	eventually(t, "stopped hosts are still alive", func() bool { return !l[0].Alive("h1") && !l[0].Alive("h2") })
	r := refusal.Of(l[0].EndIncarnation(t.Context(), "v", 1))
	is.Equal(r.Code, "leave-unconfirmed")
	is.Equal(r.Verdict, verdict.MayHaveRun)
	is.True(r.RetryAfter > 0)
}

func TestLeaveOnASingleHostIsAcknowledged(t *testing.T) {
	is := is.New(t)
	l, _ := newServices(t, 1)
	eventually(t, "leave is not acknowledged", func() bool { return l[0].AnnounceLeave(t.Context(), leavingUpstream()) == nil })
	is.True(l[0].Upstreams()[0].Leaving)
}
