package award

import "time"

// Award is what the owner of a team's bucket grants for one ask.
type Award struct {
	// Team names the team.
	Team string
	// Sequence is that of the ask.
	Sequence uint64
	// Term is the term of the owner.
	Term uint64
	// Grant is the number of the grant.
	Grant uint64
	// Units is the number of granted units.
	Units int64
	// Life is how long the grant lives, counted from the sending of the ask.
	Life time.Duration
	// RetryAfter is when the unmet need can be met, or zero if it is met.
	RetryAfter time.Duration
	// Settling says that the owner is new and waits for the grants of the former one to end.
	Settling bool
	// Rate is the team's rate in units a second as the owner knows it.
	Rate int64
	// Burst is the most units that can ever be granted at once.
	Burst int64
}
