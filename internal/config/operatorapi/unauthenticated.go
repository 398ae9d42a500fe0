package operatorapi

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinrun/pkg/refusal"
)

// maxUnauthenticatedBodyBytes limits the body of a request without the secret; 0 would mean the server's default.
const maxUnauthenticatedBodyBytes = 1

// requestConfig limits the body of a request without the secret to maxUnauthenticatedBodyBytes.
func (s *Server) requestConfig(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if s.authenticated(h.Peek(fasthttp.HeaderAuthorization)) {
		return fasthttp.RequestConfig{}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: maxUnauthenticatedBodyBytes}
}

// handleReadError writes the refusal of a request that could not be read.
func (s *Server) handleReadError(c *fasthttp.RequestCtx, err error) {
	c.SetContentType("application/json")
	var small *fasthttp.ErrSmallBuffer
	var network *net.OpError
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge) && !s.authenticated(c.Request.Header.Peek(fasthttp.HeaderAuthorization)):
		writeRefusal(c, unauthenticated)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		writeRefusal(c, refusal.NewNotRun(413, "body-too-large", "the request body is too large"))
	case errors.As(err, &small):
		writeRefusal(c, refusal.NewNotRun(431, "header-too-large", "the request header is too large"))
	case errors.As(err, &network) && network.Timeout():
		writeRefusal(c, refusal.NewNotRun(408, "too-slow", "the request was not received in time"))
	default:
		writeRefusal(c, refusal.NewNotRun(400, "bad-request", "the request could not be read"))
	}
}
