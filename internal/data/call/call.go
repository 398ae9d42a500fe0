package call

import (
	"time"

	"siskinrun/internal/data/inlineitem"
	"siskinrun/internal/data/record"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/upstream"
)

// Call is one request of a caller or of a batch item.
type Call struct {
	// ID identifies the call in logs, headers and upstreams.
	ID string
	// Team is the team that pays, empty on an open route.
	Team string
	// KeyID names the key that was shown, empty on an open route.
	KeyID string
	// Route is the name of the matched route.
	Route string
	// Rule is the matched route.
	Rule route.Route
	// Batch says that the call belongs to a batch item.
	Batch bool
	// Stream says that the caller asked for server-sent events.
	Stream bool
	// Method is the HTTP method.
	Method string
	// Host is the host name that the caller named, empty if it does not matter.
	Host string
	// Path is the path and query sent to the upstream.
	Path string
	// Headers are the end-to-end headers for the upstream as name and value.
	Headers [][2]string
	// Body is the request body.
	Body []byte
	// Model is what the upstream must have loaded, empty for a plain service.
	Model string
	// Items decodes the items of a job that the body hands in, on routes that take jobs.
	Items func() ([]inlineitem.Item, error)
	// Prefix are the chained hashes of the parts of the prompt, if the caller named them.
	Prefix []uint64
	// Prompt is the text whose prefix may be cached.
	Prompt []byte
	// Tokens is the most tokens that may be generated.
	Tokens int64
	// Cost is the price in units.
	Cost int64
	// Weight is the team's share of a busy fleet.
	Weight int64
	// IdempotencyKey is the caller's name for the request, or empty.
	IdempotencyKey string
	// Offset is the number of the first event to send when a stream is resumed.
	Offset int
	// Arrived is when the request was read.
	Arrived time.Time
	// Patience is how long the caller said it waits, or zero.
	Patience time.Duration
	// Deadline is when the answer must be complete.
	Deadline time.Time
	// To is the upstream of the attempt under way.
	To upstream.Upstream
	// Record is what is known of the call so far.
	Record record.Record
}
