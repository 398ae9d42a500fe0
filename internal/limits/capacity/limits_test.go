package capacity

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/rcrowley/go-metrics"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
	"siskinrun/pkg/refusal"
)

func TestStartLimits(t *testing.T) {
	at := time.Unix(1000, 0)
	for _, c := range []struct {
		name                       string
		firstToken, patience, left time.Duration
		by, deadline               time.Duration
	}{
		{"no contract", 0, 5 * time.Second, 5 * time.Second, 5 * time.Second, 5 * time.Second},
		{"first try", 300 * time.Millisecond, 5 * time.Second, 5 * time.Second, 210 * time.Millisecond, 210 * time.Millisecond},
		{"unknown patience", 300 * time.Millisecond, 0, 5 * time.Second, 210 * time.Millisecond, 210 * time.Millisecond},
		{"retry", 300 * time.Millisecond, 4 * time.Second, 4 * time.Second, 210 * time.Millisecond, 4 * time.Second},
		{"deadline before target", 300 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond, 100 * time.Millisecond},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			r := route.Route{FirstToken: duration.Duration(c.firstToken), Timeout: duration.Duration(5 * time.Second)}
			by, deadline := startLimits(&call.Call{RouteConfig: r, ClientTimeout: c.patience, Arrived: at, Deadline: at.Add(c.left)})
			is.Equal(by.Sub(at), c.by)
			is.Equal(deadline.Sub(at), c.deadline)
		})
	}
}

// TestCallsHeldBackByLimitsComeBackAfterASecond guards against calls that are refused for want of slots while the permits of
// upstreams are short, and come back among those that come meanwhile.
func TestCallsHeldBackByLimitsComeBackAfterASecond(t *testing.T) {
	for _, c := range []struct {
		name   string
		usable float64
		soon   bool
	}{{"all slots usable", 1, true}, {"limited", 0.5, false}} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			p := &Controller{Timer: timer.NewService(), Metrics: metrics.NewRegistry()}
			u := []upstream.Upstream{{Name: "u", Service: "s", Slots: 1}}
			p.Update(u, func(upstream.Upstream) float64 { return c.usable }, func(string) int { return 0 }, 1)
			q := &call.Call{Team: "t", Cost: 1, RouteConfig: route.Route{Service: "s"}, StartBy: time.Now().Add(time.Minute)}
			q.StartDeadline = q.StartBy
			release, err := p.Acquire(t.Context(), q)
			is.NoErr(err)
			defer release()
			q.StartBy, q.StartDeadline = time.Now(), time.Now()
			_, err = p.Acquire(t.Context(), q)
			is.Equal(refusal.Of(err).RetryAfter < time.Second, c.soon)
		})
	}
}
