package transport

import (
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"siskinrun/internal/data/call"
	"siskinrun/internal/data/reply"
)

const (
	// RequestID is the header that carries the ID of a call to an upstream and back.
	RequestID = "Siskin-Request-Id"
	// LastEventID is the header that names the last event received of a stream.
	LastEventID = "Last-Event-Id"
)

// dialect writes the heads of requests to upstreams and reads those of their answers.
type dialect interface {
	// Fill adds what an upstream needs to know of a call that has some time left.
	SetHeaders(h *fasthttp.RequestHeader, c *call.Call, remaining time.Duration)
	// Read returns what the head of an answer tells.
	ParseHeaders(h *fasthttp.ResponseHeader) reply.Reply
	// Private reports whether a header of an answer is meant for this host alone.
	Private(name string) bool
}

// defaultDialect is the product's defaultDialect dialect.
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
func (defaultDialect) ParseHeaders(h *fasthttp.ResponseHeader) reply.Reply {
	return reply.Reply{CallID: string(h.Peek(RequestID))}
}

// Private implements dialect.Private.
func (defaultDialect) Private(name string) bool {
	return strings.EqualFold(name, RequestID)
}
