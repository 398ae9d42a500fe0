package cancelclient

import (
	"context"
	"io"
	"time"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
)

const (
	pathCancel    = "/v1/cancel"
	cancelTimeout = time.Second
)

// transport sends one call to one upstream.
type transport interface {
	Do(ctx context.Context, address string, c *call.Call) (*answer.Answer, error)
}

// Client sends cancellations to model engines.
type Client struct {
	// Transport sends the cancellations.
	Transport transport
	// Group runs the cancellations in the background.
	Group *group.Group
	// Timer is the clock.
	Timer *timer.Service
}

// Cancel tells an engine, in the background, to cancel a call. It does nothing for other upstreams.
func (c *Client) Cancel(u upstream.Upstream, id string) {
	if u.Kind != upstream.Engine {
		return
	}
	c.Group.Go("cancel", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		n := c.Timer.Now()
		a, err := c.Transport.Do(ctx, u.Address, &call.Call{
			ID:          id,
			Method:      "POST",
			Path:        pathCancel,
			RouteConfig: route.Route{Repeatable: true},
			Arrived:     n,
			Deadline:    n.Add(cancelTimeout),
		})
		if err == nil {
			_, _ = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
		}
		return nil
	})
}
