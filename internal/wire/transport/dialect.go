package transport

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"siskinrun/internal/data/answerheaders"
	"siskinrun/internal/data/answerproof"
	"siskinrun/internal/data/call"
	"siskinrun/internal/data/ratelimit"
)

const (
	// RequestID is the header with the ID of a call, in the request to an upstream and in its response.
	RequestID = "Siskin-Request-Id"
	// LastEventID is the header with the ID of the last event received of a stream.
	LastEventID = "Last-Event-Id"
	// RateLimit is the header with the number of requests a second that an upstream takes from all hosts together.
	RateLimit = "Siskin-Rate-Limit"
)

// dialect sets the headers of requests to upstreams and parses those of their responses.
type dialect interface {
	// SetHeaders sets the request headers of a call whose deadline is the remaining time away.
	SetHeaders(h *fasthttp.RequestHeader, c *call.Call, remaining time.Duration)
	// ParseHeaders returns what the response headers say.
	ParseHeaders(h *fasthttp.ResponseHeader) answerheaders.Headers
	// Proof tells whether the response bears the proof that the upstream made it.
	Proof(h *fasthttp.ResponseHeader) answerproof.Proof
	// Private reports whether a response header is meant for this host and not forwarded to the caller.
	Private(name string) bool
}

// defaultDialect is the dialect of siskinrun itself.
type defaultDialect struct{}

// SetHeaders implements dialect.SetHeaders.
func (defaultDialect) SetHeaders(h *fasthttp.RequestHeader, c *call.Call, _ time.Duration) {
	for _, v := range c.Headers {
		h.Add(v[0], v[1])
	}
	h.Set(RequestID, c.ID)
	if c.Offset > 0 {
		h.Set(LastEventID, strconv.Itoa(c.Offset-1))
	}
}

// ParseHeaders implements dialect.ParseHeaders.
func (defaultDialect) ParseHeaders(h *fasthttp.ResponseHeader) answerheaders.Headers {
	var l []string
	for _, v := range h.PeekAll(RateLimit) {
		l = append(l, string(v))
	}
	return answerheaders.Headers{CallID: string(h.Peek(RequestID)), RateLimit: ratelimit.Parse(l...)}
}

// Proof implements dialect.Proof. These upstreams prove nothing.
func (defaultDialect) Proof(*fasthttp.ResponseHeader) answerproof.Proof {
	return answerproof.None
}

// Private implements dialect.Private.
func (defaultDialect) Private(name string) bool {
	return strings.EqualFold(name, RequestID) || strings.EqualFold(name, RateLimit)
}
