package groupstatus

import (
	"time"

	"siskinrun/internal/state/identity"
)

// Status is the status of a replica group as known to one control host.
type Status struct {
	// Group is the number of the group.
	Group uint32 `json:"group"`
	// Self is the reporting host.
	Self identity.Identity `json:"self"`
	// Leader is the last known leader, if any.
	Leader identity.Identity `json:"leader"`
	// Leading reports whether the reporting host is the leader.
	Leading bool `json:"leading"`
	// Term is the current term.
	Term uint64 `json:"term"`
	// Last is the last index of the log.
	Last uint64 `json:"last"`
	// Commit is the highest index known to be committed.
	Commit uint64 `json:"commit"`
	// Applied is the highest index that the state machine has applied.
	Applied uint64 `json:"applied"`
	// Syncs counts the syncs of the journal since the start.
	Syncs uint64 `json:"syncs"`
	// Members are all members as known to the leader.
	Members []Member `json:"members"`
	// Repaired reports whether the leader finds every voter present and caught up and no membership change in progress.
	Repaired bool `json:"repaired"`
}

// Member is one member of a group.
type Member struct {
	// Identity is the host and its disk.
	Identity identity.Identity `json:"identity"`
	// Voter reports whether the member votes.
	Voter bool `json:"voter"`
	// Lag is the number of entries that the member lacks, as known to the leader.
	Lag uint64 `json:"lag"`
	// Silence is the time since the last heartbeat that the member answered.
	Silence time.Duration `json:"silence-nanoseconds"`
}
