package leadership

import "time"

// Status says whether this host leads a replica group, and until when its lease holds.
type Status struct {
	// Leading says that this host is the leader and holds an unexpired lease.
	Leading bool
	// Term is the term of the leadership. It fences off the actions of other leaders.
	Term uint64
	// Since is when this host became leader.
	Since time.Time
	// Until is when the lease ends unless a quorum renews it.
	Until time.Time
	// Leader is the name of the last known leader, or empty.
	Leader string
}
