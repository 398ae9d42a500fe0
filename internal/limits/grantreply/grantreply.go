package grantreply

import "time"

// Reply is the answer of the owner of a team's bucket to one request.
type Reply struct {
	// Team is the name of the team.
	Team string
	// Sequence is the sequence number of the request.
	Sequence uint64
	// Term is the term of the owner.
	Term uint64
	// Grant is the number of the grant within its term and team.
	Grant uint64
	// Units is the number of units granted, or zero if there is no grant.
	Units int64
	// TTL is how long the grant may be spent, counted from the sending of the request.
	TTL time.Duration
	// RetryAfter is the time until the request's smallest useful grant can be made, or zero if its need is met or
	// never can be.
	RetryAfter time.Duration
	// Settling reports that the owner is new and still has to account for grants of earlier terms.
	Settling bool
	// Rate is the team's rate in units per second as the owner knows it.
	Rate int64
	// Burst is the team's burst as the owner knows it: the most units that it can grant at once.
	Burst int64
}
