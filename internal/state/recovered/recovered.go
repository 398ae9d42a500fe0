package recovered

import (
	"siskinrun/internal/state/ballot"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/memberset"
)

// State is the durable state that a replica starts from.
type State struct {
	// Ballot is the durable term and vote.
	Ballot ballot.Ballot
	// Base is the index up to which a snapshot replaces the log.
	Base uint64
	// BaseTerm is the term of the entry at Base.
	BaseTerm uint64
	// Members is the member set at Base.
	Members memberset.Set
	// Entries are the log entries after Base.
	Entries []logentry.Entry
}
