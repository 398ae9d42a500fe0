package upstreamlimit

import (
	"time"

	"siskinrun/internal/data/ratelimit"
)

// Limit is what one answer of an upstream said of its rate limit, which holds for one incarnation.
type Limit struct {
	// Upstream is the name of the upstream.
	Upstream string
	// Incarnation is the incarnation of the upstream that was asked.
	Incarnation uint64
	// Value is what the answer named; an answer that names no limit ends it.
	Value ratelimit.Value
	// Sent and Received are when the request was sent and when the headers of its answer came. The upstream wrote them in
	// between.
	Sent, Received time.Time
	// Host is the name of the host that received the answer.
	Host string
}
