package bulletin

import "time"

// Bulletin leads the asking host to a version and says how fresh that is.
type Bulletin struct {
	// Version is the newest version that the answering host knows.
	Version uint64
	// Confirmed says that Age holds.
	Confirmed bool
	// Age is the time since a quorum confirmed Version.
	Age time.Duration
	// Waited is the time between the question and the answer.
	Waited time.Duration
	// Deltas lead from the asking host's version to Version, in order.
	Deltas [][]byte
}
