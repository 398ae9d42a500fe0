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

// pipeline runs calls.
type pipeline interface {
	Online(ctx context.Context, authorization string, c *call.Call) (*answer.Answer, error)
}

// identifier finds the team of a credential.
type identifier interface {
	Key(authorization []byte) (key.Key, error)
}

// jobs keeps the jobs that calls hand in.
type jobs interface {
	Listing(ctx context.Context, team, id string, from int, wait time.Duration) (joblisting.Listing, error)
	Input(ctx context.Context, team, id, name string) ([]byte, error)
	End(ctx context.Context, team, id string) error
}

// Dependencies are the parts of a host that serve callers.
type Dependencies struct {
	// Ingress takes requests; its dialect is for the reader to set.
	Ingress *ingress.Server
	// Readiness takes the balancer's questions, or is nil.
	Readiness net.Listener
	// Pipeline runs calls.
	Pipeline pipeline
	// Identifier finds the team of a credential.
	Identifier identifier
	// Jobs keeps the jobs that calls hand in.
	Jobs jobs
	// Ready reports whether the host can take calls.
	Ready func() bool
	// Timer tells the time.
	Timer *timer.Service
	// MaxBodyBytes is the longest body of a request.
	MaxBodyBytes int64
}
