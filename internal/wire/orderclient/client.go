package orderclient

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/order"
)

const (
	pathState    = "/v1/state"
	pathOrders   = "/v1/orders"
	stateTimeout = 5 * time.Second
	maxBodyBytes = 1 << 20
)

// transport sends one call to one upstream.
type transport interface {
	Do(ctx context.Context, address string, c *call.Call) (*answer.Answer, error)
}

// orderBody is the JSON form of an order to an engine.
type orderBody struct {
	FencingToken uint64 `json:"fencing-number"`
	Action       string `json:"action"`
	Model        string `json:"model,omitempty"`
	Role         string `json:"role,omitempty"`
}

// Client reads the state of model engines and sends them orders.
type Client struct {
	// Transport sends the requests.
	Transport transport
	// Timer is the clock.
	Timer *timer.Service
}

// State returns the current state of the engine at an address.
func (c *Client) State(ctx context.Context, address string) (upstream.Upstream, error) {
	var u upstream.Upstream
	b, err := c.do(ctx, address, &call.Call{Method: http.MethodGet, Path: pathState, Deadline: c.Timer.Now().Add(stateTimeout)})
	if err != nil {
		return u, err
	}
	return u, errors.Wrap(json.Unmarshal(b, &u), "orderclient: decode state")
}

// Send sends an order to the engine at an address, unless its time has passed. After an error the engine may or may not have
// accepted it.
func (c *Client) Send(ctx context.Context, address string, o order.Order) error {
	b, err := json.Marshal(orderBody{FencingToken: o.Fence, Action: o.Kind, Model: o.Model, Role: o.Role})
	if err != nil {
		return errors.Wrap(err, "orderclient: encode order")
	}
	_, err = c.do(ctx, address, &call.Call{Method: http.MethodPost, Path: pathOrders, Body: b, Deadline: o.Until})
	return err
}

func (c *Client) do(ctx context.Context, address string, q *call.Call) ([]byte, error) {
	a, err := c.Transport.Do(ctx, address, q)
	if err != nil {
		return nil, err
	}
	b, err := io.ReadAll(io.LimitReader(a.Body, maxBodyBytes))
	if err := errors.CombineErrors(err, a.Body.Close()); err != nil {
		return nil, errors.Wrapf(err, "orderclient: %s", q.Path)
	}
	if a.Status != http.StatusOK {
		return nil, errors.Newf("orderclient: %s answered status %d", q.Path, a.Status)
	}
	return b, nil
}
