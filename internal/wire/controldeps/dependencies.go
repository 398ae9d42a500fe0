package controldeps

import (
	"context"
	"net"

	"github.com/rs/zerolog"

	"siskinrun/internal/config/change"
	"siskinrun/internal/config/changeoutcome"
	"siskinrun/internal/data/upstream"
)

// Dependencies are the parts of a host that hear upstreams and operators.
type Dependencies struct {
	// Listener takes their connections.
	Listener net.Listener
	// Announce takes an announcement; that of a leave returns once enough hosts know of it.
	Announce func(ctx context.Context, u upstream.Upstream) error
	// Leave ends an incarnation of an upstream, or the one that is known if it is zero, once enough hosts know of it.
	Leave func(ctx context.Context, name string, incarnation uint64) error
	// Install puts a whole configuration in force unless its edition is too low.
	Install func(ctx context.Context, c *change.Change) (*changeoutcome.Outcome, error)
	// Document returns the newest configuration as its operator wrote it, or fails if it cannot be sure.
	Document func(ctx context.Context) ([]byte, error)
	// Retire has a host give up the state that it keeps.
	Retire func(ctx context.Context, label string) error
	// Retired reports whether it has.
	Retired func(ctx context.Context, label string) (bool, error)
	// Log takes what is refused.
	Log zerolog.Logger
}
