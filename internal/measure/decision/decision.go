package decision

import (
	"time"

	"siskinrun/internal/base/duration"
)

// Decision is the decision of one host on one call.
type Decision struct {
	// At is when the call ended.
	At time.Time `json:"at"`
	// Host is the host that decided.
	Host string `json:"host"`
	// ID is the ID of the call.
	ID string `json:"id"`
	// Team is the team that is charged, empty on an open route.
	Team string `json:"team,omitempty"`
	// Route is the matched route, or empty.
	Route string `json:"route,omitempty"`
	// Upstream is the upstream that answered last, or empty.
	Upstream string `json:"upstream,omitempty"`
	// Batch reports whether the call belonged to a batch item.
	Batch bool `json:"batch,omitempty"`
	// Outcome is what was decided.
	Outcome string `json:"what"`
	// Reason is why it was decided.
	Reason string `json:"why"`
	// Verdict tells whether the call may have run.
	Verdict string `json:"verdict"`
	// Status is the HTTP status of the answer or refusal.
	Status int `json:"status"`
	// Attempts is the number of times that the call was sent.
	Attempts int `json:"attempts"`
	// Waited is the time from arrival until the call was sent.
	Waited duration.Duration `json:"waited,omitempty"`
	// Total is the time from arrival to the end.
	Total duration.Duration `json:"total"`
}
