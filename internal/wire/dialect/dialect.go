package dialect

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"siskinrun/internal/data/call"
	"siskinrun/internal/data/reply"
	"siskinrun/internal/wire/callerdeps"
	"siskinrun/internal/wire/controldeps"
)

// upstreamDialect writes the heads of requests to upstreamDialect and reads those of their answers.
type upstreamDialect interface {
	SetHeaders(h *fasthttp.RequestHeader, c *call.Call, left time.Duration)
	ParseHeaders(h *fasthttp.ResponseHeader) reply.Reply
	Private(name string) bool
}

// Dialect is a set of wire formats towards callers, upstreams and operators.
type Dialect struct {
	// Scheme is the word before a key in a caller's credential.
	Scheme string
	// Upstreams writes and reads the heads of calls to upstreams.
	Upstreams upstreamDialect
	// Callers serves callers until ctx ends.
	Callers func(ctx context.Context, p callerdeps.Dependencies) error
	// Control serves upstreams and operators until ctx ends.
	Control func(ctx context.Context, p controldeps.Dependencies) error
}
