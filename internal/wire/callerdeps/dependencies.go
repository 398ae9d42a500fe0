package callerdeps

import (
	"context"
	"net"
	"time"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/answer"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/joblisting"
	"siskinrun/internal/data/key"
	"siskinrun/internal/wire/ingress"
)

// pipeline runs online calls.
type pipeline interface {
	Online(ctx context.Context, authorization string, c *call.Call) (*answer.Answer, error)
}

// identifier finds the team of a credential.
type identifier interface {
	Key(authorization []byte) (key.Key, error)
}

// jobs keeps the jobs that calls submit.
type jobs interface {
	Listing(ctx context.Context, team, id string, from int, wait time.Duration) (joblisting.Listing, error)
	Input(ctx context.Context, team, id, name string) ([]byte, error)
	End(ctx context.Context, team, id string) error
}

// Dependencies are what a host provides to a dialect that serves callers.
type Dependencies struct {
	// Ingress serves HTTP. The dialect sets Ingress.Dialect before it calls Run.
	Ingress *ingress.Server
	// Readiness accepts the readiness checks of load balancers, or is nil.
	Readiness net.Listener
	// Pipeline runs online calls.
	Pipeline pipeline
	// Identifier finds the team of a credential.
	Identifier identifier
	// Jobs keeps the jobs that calls submit.
	Jobs jobs
	// Ready reports whether the host can take calls.
	Ready func() bool
	// Timer is the clock.
	Timer *timer.Service
	// MaxBodyBytes limits the size of a request body.
	MaxBodyBytes int64
}
