package ballot

import "siskinrun/internal/state/identity"

// Ballot is the durable part of a replica's elections.
type Ballot struct {
	// Term is the highest term that the replica has seen.
	Term uint64
	// Vote is the candidate that got the replica's vote in Term, if any.
	Vote identity.Identity
}
