package callerparts

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

// pipe runs calls.
type pipe interface {
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

// Parts are the parts of a host that serve callers.
type Parts struct {
	// Ingress takes requests; its dialect is for the reader to set.
	Ingress *ingress.Ingress
	// Readiness takes the balancer's questions, or is nil.
	Readiness net.Listener
	// Pipe runs calls.
	Pipe pipe
	// Identify finds the team of a credential.
	Identify identifier
	// Jobs keeps the jobs that calls hand in.
	Jobs jobs
	// Ready reports whether the host can take calls.
	Ready func() bool
	// Timer tells the time.
	Timer *timer.Service
	// BodyBytes is the longest body of a request.
	BodyBytes int64
}
