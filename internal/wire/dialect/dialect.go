package dialect

import (
	"context"
	"time"

	"github.com/valyala/fasthttp"

	"siskinrun/internal/data/answerheaders"
	"siskinrun/internal/data/answerproof"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/route"
	"siskinrun/internal/wire/callerdeps"
	"siskinrun/internal/wire/controldeps"
)

// upstreamDialect sets the headers of requests to upstreams and parses those of their responses.
type upstreamDialect interface {
	SetHeaders(h *fasthttp.RequestHeader, c *call.Call, left time.Duration)
	ParseHeaders(h *fasthttp.ResponseHeader) answerheaders.Headers
	Proof(h *fasthttp.ResponseHeader) answerproof.Proof
	Private(name string) bool
}

// Dialect is the wire formats for callers, upstreams and operators.
type Dialect struct {
	// Scheme is the authentication scheme before the key in a caller's Authorization header.
	Scheme string
	// Upstreams sets and parses the headers of calls to upstreams.
	Upstreams upstreamDialect
	// Patience returns how long callers wait for the first event of a stream of a route before they leave, zero if only their
	// deadlines tell.
	Patience func(r route.Route) time.Duration
	// Callers serves callers until ctx ends.
	Callers func(ctx context.Context, p callerdeps.Dependencies) error
	// Control serves upstreams and operators until ctx ends.
	Control func(ctx context.Context, p controldeps.Dependencies) error
}
