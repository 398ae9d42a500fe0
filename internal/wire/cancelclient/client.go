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

// transport carries one call to one upstream.
type transport interface {
	Do(ctx context.Context, address string, c *call.Call) (*answer.Answer, error)
}

// Client gives instructions to model engines.
type Client struct {
	// Transport carries the instructions.
	Transport transport
	// Group runs what nobody waits for.
	Group *group.Group
	// Timer tells the time.
	Timer *timer.Service
}

// Cancel tells an engine, without waiting, that nobody wants the answer to a call any more.
func (e *Client) Cancel(u upstream.Upstream, id string) {
	if u.Kind != upstream.Engine {
		return
	}
	e.Group.Go("cancel", func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, cancelTimeout)
		defer cancel()
		n := e.Timer.Now()
		a, err := e.Transport.Do(ctx, u.Address, &call.Call{
			ID:       id,
			Method:   "POST",
			Path:     pathCancel,
			Rule:     route.Route{Repeatable: true},
			Arrived:  n,
			Deadline: n.Add(cancelTimeout),
		})
		if err == nil {
			_, _ = io.Copy(io.Discard, a.Body)
			_ = a.Body.Close()
		}
		return nil
	})
}
