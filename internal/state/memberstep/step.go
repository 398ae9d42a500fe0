package memberstep

import "siskinrun/internal/state/identity"

// Step is one change of a group's members, or nothing if no field says what to do.
type Step struct {
	// Member is the member that changes.
	Member identity.Identity
	// Learn makes it a learner.
	Learn bool
	// Promote gives it its vote.
	Promote bool
	// Remove ends its membership.
	Remove bool
}

// IsZero reports whether there is nothing to do.
func (s Step) IsZero() bool {
	return s == Step{}
}
