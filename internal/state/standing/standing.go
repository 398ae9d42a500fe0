package standing

import (
	"time"

	"siskinrun/internal/state/identity"
)

// Standing is what one control host knows of a replica group.
type Standing struct {
	// Group is the number of the group.
	Group uint32 `json:"group"`
	// Self is the host that tells.
	Self identity.Identity `json:"self"`
	// Leader is the leader as last heard, if any.
	Leader identity.Identity `json:"leader"`
	// Leading says that the host that tells leads.
	Leading bool `json:"leading"`
	// Term is the current term.
	Term uint64 `json:"term"`
	// Last is the last place of the log.
	Last uint64 `json:"last"`
	// Commit is the highest place known to be committed.
	Commit uint64 `json:"commit"`
	// Applied is the highest place that the state machine has applied.
	Applied uint64 `json:"applied"`
	// Syncs counts the syncs of the journal since the start.
	Syncs uint64 `json:"syncs"`
	// Members are all members, as the leader knows them.
	Members []Member `json:"members"`
	// Repaired says that the leader finds every voter present and caught up and no change under way.
	Repaired bool `json:"repaired"`
}

// Member is one member of a group.
type Member struct {
	// Identity is the host and its disk.
	Identity identity.Identity `json:"identity"`
	// Voter says that the member votes.
	Voter bool `json:"voter"`
	// Lag is the number of entries that the member lacks, as far as the leader knows.
	Lag uint64 `json:"lag"`
	// Silence is the age of the last heartbeat that the member answered.
	Silence time.Duration `json:"silence-nanoseconds"`
}
