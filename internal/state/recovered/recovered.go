package recovered

import (
	"siskinrun/internal/state/ballot"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/quorum"
)

// Recovered is what a replica starts from.
type Recovered struct {
	// Ballot is the durable term and vote.
	Ballot ballot.Ballot
	// Base is the place up to which a snapshot replaces the log.
	Base uint64
	// BaseTerm is the term of the entry at Base.
	BaseTerm uint64
	// Quorum is the membership at Base.
	Quorum quorum.Quorum
	// Entries follow Base.
	Entries []logentry.Entry
}
