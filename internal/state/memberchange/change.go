package memberchange

import "siskinrun/internal/state/identity"

// Change is one membership change; the zero value changes nothing.
type Change struct {
	// Member is the member to add, promote or remove.
	Member identity.Identity
	// AddLearner adds the member as a learner.
	AddLearner bool
	// Promote makes the learner a voter.
	Promote bool
	// Remove removes the member.
	Remove bool
}

// IsZero reports whether there is nothing to change.
func (c Change) IsZero() bool {
	return c == Change{}
}
