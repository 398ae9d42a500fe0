package reply

import (
	"time"

	"siskinrun/internal/data/report"
)

// Reply is the control information in the headers of an answer, apart from the answer itself.
type Reply struct {
	// CallID is the ID of the answered call, empty if not given.
	CallID string
	// NotRun means that the upstream did not run the call.
	NotRun bool
	// Moved means that another upstream now has the address.
	Moved bool
	// Idle is how long the upstream keeps an idle connection, zero if not given.
	Idle time.Duration
	// Loaded means that Load is set.
	Loaded bool
	// Load is the upstream's load at the time of the answer. The receiver sets its Upstream and Incarnation.
	Load report.Report
}
