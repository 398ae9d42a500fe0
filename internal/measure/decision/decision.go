package decision

import (
	"time"

	"siskinrun/internal/base/span"
)

// Decision is what one host decided on one call.
type Decision struct {
	// At is when the call ended.
	At time.Time `json:"at"`
	// Host is the host that decided.
	Host string `json:"host"`
	// ID is the call's ID.
	ID string `json:"id"`
	// Team is the team that paid, empty on an open route.
	Team string `json:"team,omitempty"`
	// Route is the matched route, or empty.
	Route string `json:"route,omitempty"`
	// Upstream is the upstream that answered last, or empty.
	Upstream string `json:"upstream,omitempty"`
	// Batch says that the call belonged to a batch item.
	Batch bool `json:"batch,omitempty"`
	// What was decided.
	What string `json:"what"`
	// Why it was decided.
	Why string `json:"why"`
	// Verdict says whether the call may have run.
	Verdict string `json:"verdict"`
	// Status is the HTTP status of the answer or refusal.
	Status int `json:"status"`
	// Attempts is the number of times that the call was sent.
	Attempts int `json:"attempts"`
	// Waited is the time before the call was sent.
	Waited span.Span `json:"waited,omitempty"`
	// Total is the time from arrival to the end.
	Total span.Span `json:"total"`
}
