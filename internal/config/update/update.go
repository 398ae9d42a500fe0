package update

import "time"

// Update brings the asking host to a version and tells how fresh that version is.
type Update struct {
	// Version is the newest version that the answering host holds.
	Version uint64
	// Confirmed reports whether a quorum has confirmed Version, so that Age is valid.
	Confirmed bool
	// Age is the time since a quorum confirmed Version.
	Age time.Duration
	// Waited is how long the answering host held the request.
	Waited time.Duration
	// Deltas lead from the asking host's version to Version, in order.
	Deltas [][]byte
}
