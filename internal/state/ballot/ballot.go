package ballot

import "siskinrun/internal/state/identity"

// Ballot is the term and vote that a replica makes durable before it relies on them.
type Ballot struct {
	// Term is the highest term that the replica has seen.
	Term uint64
	// Vote is the candidate that the replica voted for in Term, if any.
	Vote identity.Identity
}
