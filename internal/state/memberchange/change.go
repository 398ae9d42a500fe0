package memberchange

import "siskinrun/internal/state/identity"

// Change is one change of a group's members, or nothing if no field says what to do.
type Change struct {
	// Member is the member that changes.
	Member identity.Identity
	// AddLearner makes it a learner.
	AddLearner bool
	// Promote gives it its vote.
	Promote bool
	// Remove ends its membership.
	Remove bool
}

// IsZero reports whether there is nothing to do.
func (c Change) IsZero() bool {
	return c == Change{}
}
