package answerheaders

import (
	"time"

	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/ratelimit"
)

// Headers is the control information in the headers of an answer, apart from the answer itself.
type Headers struct {
	// CallID is the ID of the answered call, empty if not given.
	CallID string
	// NotRun means that the upstream did not run the call.
	NotRun bool
	// Misdirected means that another upstream now has the address.
	Misdirected bool
	// Leaving means that the upstream takes no more calls than those on their way.
	Leaving bool
	// IdleTimeout is how long the upstream keeps an idle connection, zero if not given.
	IdleTimeout time.Duration
	// RateLimit is the rate limit of the upstream, if the answer names one.
	RateLimit ratelimit.Value
	// HasLoad means that Load is set.
	HasLoad bool
	// Load is the upstream's load at the time of the answer. The receiver sets its Upstream and Incarnation.
	Load loadreport.Report
}
