package item

import (
	"sync/atomic"

	"siskinrun/internal/data/streamstart"
)

// Item is one line of a job's input, leased to a host.
type Item struct {
	// Job is the ID of the job.
	Job string
	// Index is the index of the item in its job, from zero.
	Index int
	// Fence is the fencing token of the lease.
	Fence uint64
	// Team owns the job.
	Team string
	// Endpoint is the path that the job calls.
	Endpoint string
	// Target is the model or path prefix that selects the upstreams.
	Target string
	// Repeatable means that the item may run more than once.
	Repeatable bool
	// Attempt counts earlier attempts that failed.
	Attempt int
	// Line is the JSON line of the input.
	Line []byte
	// Preemptions is the number of earlier runs under this lease that were preempted.
	Preemptions int
	// NextEvent is the number of the first missing event, zero if no event has been received.
	NextEvent uint64
	// Text is the output before that event.
	Text []byte
	// Start is the software that made the text.
	Start streamstart.Start
	// Received, if set, holds the number of the next event while the item runs.
	Received *atomic.Uint64
}
