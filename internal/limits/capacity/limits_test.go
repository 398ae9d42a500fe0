package capacity

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/route"
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
