package lead

import "time"

// Lead tells whether this host leads a group, and for how long that is certain.
type Lead struct {
	// Leading says that this host is the leader and holds an unexpired lease.
	Leading bool
	// Term fences what this leader does against earlier and later leaders.
	Term uint64
	// Since is when this host became leader.
	Since time.Time
	// Until is when the lease ends unless a quorum confirms it again.
	Until time.Time
	// Leader is the name of the leader as last heard, or empty.
	Leader string
}
