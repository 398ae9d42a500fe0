package callrecord

import (
	"time"

	"siskinrun/internal/data/answerend"
	"siskinrun/internal/data/answerproof"
	"siskinrun/internal/data/framing"
	"siskinrun/internal/data/ratelimit"
	"siskinrun/internal/data/upstreamlimit"
	"siskinrun/pkg/verdict"
)

// Record is the record of one finished call, for logs and metrics.
type Record struct {
	// ID is the call's ID.
	ID string
	// Team is the team that paid, empty on an open route.
	Team string
	// Route is the name of the route, empty if none matched.
	Route string
	// Upstream is the upstream that answered last, or empty.
	Upstream string
	// UpstreamVersion is the software version of that upstream, empty if it is not known.
	UpstreamVersion string
	// Gateway is the host that carried the last attempt to the upstream, empty for none.
	Gateway string
	// FirstEvent is the number of the first event that the last attempt asked for, zero for a stream from its start.
	FirstEvent int
	// Resumes is the ID of the earlier call whose stream this one goes on with, empty for a stream from its start.
	Resumes string
	// Parts are the hashes of the parts of the prompt that other calls may share.
	Parts []uint64
	// Digest identifies calls with the same request, zero for a batch item.
	Digest uint64
	// Lost is the number of attempts whose upstream was lost before it began its answer.
	Lost int
	// NotRun is the number of attempts that certainly did not run.
	NotRun int
	// RateLimit is the rate limit that the upstream named with its answer.
	RateLimit ratelimit.Value
	// HeldOff is the number of times that a rate limit held the call off an upstream, and HeldBy the last of these limits
	// with its age.
	HeldOff   int
	HeldBy    upstreamlimit.Limit
	HeldByAge time.Duration
	// PermitWait is the time that the call waited for permits.
	PermitWait time.Duration
	// Batch marks a call of a batch item.
	Batch bool
	// Status is the HTTP status of the answer or refusal.
	Status int
	// Code is the code of the refusal, empty for an answer.
	Code string
	// Verdict says whether the call may have run.
	Verdict verdict.Verdict
	// Attempts is the number of times that the call was sent.
	Attempts int
	// Tried lists the upstreams of earlier attempts, in order.
	Tried []string
	// Message is the message of the refusal, empty for an answer.
	Message string
	// Configuration is the version of the configuration that applied to the call.
	Configuration uint64
	// Events is the number of events of a streamed answer.
	Events int
	// Framing is how the last answer of an upstream says where it ends, and AnswerEnd how that answer ended.
	Framing   framing.Framing
	AnswerEnd answerend.End
	// AnswerProof tells whether the last answer of an upstream proves to be its own, and AnswerNamed that it named the call.
	AnswerProof answerproof.Proof
	AnswerNamed bool
	// ConnReused says that the connection of that answer had answered another call before.
	ConnReused bool
	// AnswerEvents is the number of events that were passed on from that answer.
	AnswerEvents int
	// EndedAt is when the call ended.
	EndedAt time.Time
	// Waited is the time from arrival until the call was sent.
	Waited time.Duration
	// FirstByte is the time from arrival to the first byte of the answer.
	FirstByte time.Duration
	// MaxEventGap is the longest time between two consecutive events.
	MaxEventGap time.Duration
	// Total is the time from arrival to the end.
	Total time.Duration
}
