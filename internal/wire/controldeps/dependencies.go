package controldeps

import (
	"context"
	"net"

	"github.com/rs/zerolog"

	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/data/upstream"
)

// Dependencies are what a host provides to a dialect that serves upstreams and operators.
type Dependencies struct {
	// Listener accepts their connections.
	Listener net.Listener
	// Announce handles an announcement; that of a leaving upstream returns once enough hosts know of it.
	Announce func(ctx context.Context, u upstream.Upstream) error
	// Leave ends an incarnation of an upstream, or the known one if it is zero, and returns once enough hosts know of it.
	Leave func(ctx context.Context, name string, incarnation uint64) error
	// Install puts a whole configuration in force unless its edition is too low.
	Install func(ctx context.Context, c *change.Change) (*changeoutcome.Outcome, error)
	// Document returns the newest configuration as its operator wrote it, or fails if it cannot confirm that it is the
	// newest.
	Document func(ctx context.Context) ([]byte, error)
	// Retire makes a host give up the state that it stores.
	Retire func(ctx context.Context, label string) error
	// Retired reports whether the host has given up its state.
	Retired func(ctx context.Context, label string) (bool, error)
	// Evacuate begins or finishes the evacuation of a failure domain and returns nil once a quorum holds that state.
	Evacuate func(ctx context.Context, domain string, begin bool) error
	// Log receives the refused messages.
	Log zerolog.Logger
}
