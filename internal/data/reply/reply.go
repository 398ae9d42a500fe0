package reply

import (
	"time"

	"siskinrun/internal/data/report"
)

// Reply is what the head of an answer tells besides the answer itself.
type Reply struct {
	// CallID is the call that the upstream answers, empty if it does not say.
	CallID string
	// NotRun says that the upstream did not run the call.
	NotRun bool
	// Moved says that another upstream has the address.
	Moved bool
	// Idle is how long the upstream keeps an idle connection, zero if it does not say.
	Idle time.Duration
	// Loaded says that the upstream told its load.
	Loaded bool
	// Load is the upstream's load as it answered; who sent it is for the reader to fill in.
	Load report.Report
}
