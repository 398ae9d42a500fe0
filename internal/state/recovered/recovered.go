package recovered

import (
	"siskinrun/internal/state/ballot"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/memberset"
)

// State is what a replica starts from.
type State struct {
	// Ballot is the durable term and vote.
	Ballot ballot.Ballot
	// Base is the place up to which a snapshot replaces the log.
	Base uint64
	// BaseTerm is the term of the entry at Base.
	BaseTerm uint64
	// Members is the membership at Base.
	Members memberset.Set
	// Entries follow Base.
	Entries []logentry.Entry
}
