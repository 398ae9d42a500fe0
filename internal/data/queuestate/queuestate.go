package queuestate

import "siskinrun/internal/base/duration"

// These are the outcomes of a request that is not refused.
const (
	// Starts means that the request gets a slot at once.
	Starts = "starts"
	// Waits means that the request waits for a slot.
	Waits = "waits"
)

// State is the queue of one service on one host and what a request would get from it.
type State struct {
	// Slots is the number of slots of the service, of which this host may use Usable and uses Busy, and others use Elsewhere.
	Slots int `json:"slots"`
	// Usable is the number of slots that this host may use now.
	Usable int `json:"usable"`
	// Busy is the number of slots that requests of this host hold.
	Busy int `json:"busy"`
	// Elsewhere is the number of slots that other hosts use.
	Elsewhere int `json:"elsewhere"`
	// Waiting is the number of requests that wait on this host.
	Waiting int `json:"waiting"`
	// Outcome is Starts, Waits or the code of the refusal.
	Outcome string `json:"outcome"`
	// Wait is how long the request is likely to wait.
	Wait duration.Duration `json:"wait"`
	// RetryAfter is the time that a refusal would name.
	RetryAfter duration.Duration `json:"retry-after"`
}
