package operator

import (
	"net"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"

	"siskinrun/pkg/refusal"
)

// unknownBodyBytes is the most that is read from someone who does not show the secret.
const unknownBodyBytes = 1

// limit reads next to nothing from someone who does not show the secret.
func (o *Operator) limit(h *fasthttp.RequestHeader) fasthttp.RequestConfig {
	if o.known(h.Peek(fasthttp.HeaderAuthorization)) {
		return fasthttp.RequestConfig{}
	}
	return fasthttp.RequestConfig{MaxRequestBodySize: unknownBodyBytes}
}

// unreadable refuses a request that could not be read.
func (o *Operator) unreadable(c *fasthttp.RequestCtx, err error) {
	c.SetContentType("application/json")
	var small *fasthttp.ErrSmallBuffer
	var network *net.OpError
	switch {
	case errors.Is(err, fasthttp.ErrBodyTooLarge) && !o.known(c.Request.Header.Peek(fasthttp.HeaderAuthorization)):
		refuse(c, unknownOperator)
	case errors.Is(err, fasthttp.ErrBodyTooLarge):
		refuse(c, refusal.NewNotRun(413, "body-too-large", "the body is too large"))
	case errors.As(err, &small):
		refuse(c, refusal.NewNotRun(431, "header-too-large", "the header is too large"))
	case errors.As(err, &network) && network.Timeout():
		refuse(c, refusal.NewNotRun(408, "too-slow", "the request came too slowly"))
	default:
		refuse(c, refusal.NewNotRun(400, "bad-request", "the request could not be read"))
	}
}
