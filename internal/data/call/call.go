package call

import (
	"time"

	"siskinrun/internal/data/callrecord"
	"siskinrun/internal/data/inlineitem"
	"siskinrun/internal/data/route"
	"siskinrun/internal/data/streamstart"
	"siskinrun/internal/data/upstream"
)

// memory is the account of what a caller holds. ReserveSpare evicts nobody and leaves a share of it free.
type memory interface {
	Reserve(n int64) bool
	ReserveSpare(n int64) bool
	Release(n int64)
}

// Call is one request of a caller or of a batch item.
type Call struct {
	// ID identifies the call in logs, headers and upstreams.
	ID string
	// Team is the team that pays, empty on an open route.
	Team string
	// KeyID is the ID of the caller's key, empty on an open route.
	KeyID string
	// Route is the name of the matched route.
	Route string
	// RouteConfig is the matched route.
	RouteConfig route.Route
	// Batch marks a call of a batch item.
	Batch bool
	// InlineItem marks a call of an item that was submitted within its job, which only routes for jobs take.
	InlineItem bool
	// Stream means that the caller requested server-sent events.
	Stream bool
	// Method is the HTTP method.
	Method string
	// Host is the host name of the request, empty if it does not matter.
	Host string
	// Path is the path and query sent to the upstream.
	Path string
	// Headers are the end-to-end headers for the upstream as pairs of name and value.
	Headers [][2]string
	// Body is the request body.
	Body []byte
	// Model is the model that the upstream must have loaded, empty for a plain service.
	Model string
	// Items decodes the job items in the body, on routes that accept jobs.
	Items func() ([]inlineitem.Item, error)
	// PrefixHashes holds the chained hashes of the parts of the prompt, if the caller gave them.
	PrefixHashes []uint64
	// Parts holds the hash of each part of the prompt that other calls may share, without what stands before it.
	Parts []uint64
	// Digest identifies calls with the same request, zero for a batch item and until the team is known.
	Digest uint64
	// Prompt is the prompt text, whose prefix may be in a cache.
	Prompt []byte
	// MaxTokens is the maximum number of tokens to generate.
	MaxTokens int64
	// Cost is the price in units.
	Cost int64
	// Weight is the team's relative share of a busy fleet.
	Weight int64
	// FirstBy is the time by which the caller must see the answer begin, and Patience how long it waits for the next event of a
	// stream; zero if only the deadline tells.
	FirstBy  time.Time
	Patience time.Duration
	// Rank is the priority under overload. Rank 0 is served first.
	Rank int
	// IdempotencyKey is the caller's idempotency key, or empty.
	IdempotencyKey string
	// Offset is the number of the first event to send when a stream is resumed.
	Offset int
	// Resumes is the ID of the call that received the first event of the stream that this call resumes, or empty.
	Resumes string
	// Start is the software that began the stream, which alone may go on with it; zero before the first event.
	Start streamstart.Start
	// Arrived is when the request was read.
	Arrived time.Time
	// ClientTimeout is the timeout that the caller gave, or zero.
	ClientTimeout time.Duration
	// Deadline is the time by which the answer must be complete.
	Deadline time.Time
	// LatestStart is the last time at which the call can usually be sent and still be answered in its caller's time; zero if
	// only the deadline is known.
	LatestStart time.Time
	// Upstream is the upstream of the current attempt.
	Upstream upstream.Upstream
	// Release gives the slot of the call back before the call ends, nil if it has none.
	Release func()
	// GiveBack, if set, takes back what the call spent of its team's rate; it is called if the call is refused without having run.
	GiveBack func()
	// Sent, if set, is called each time the call is sent to an upstream.
	Sent func()
	// Stranded, if set, is told that the current attempt has been silent since its path was lost, so that it takes up nothing
	// that others could use.
	Stranded func()
	// Memory, if set, is the account of what the caller holds. What is reserved is released at the end of the answer at the latest.
	Memory memory
	// Record accumulates the record of the call.
	Record callrecord.Record
}
