package slotrequest

import "time"

// Request is a request for a slot.
type Request struct {
	// Team is the team that pays, and Weight its share of a busy service relative to other teams.
	Team   string
	Weight int64
	// Cost is the price in units.
	Cost int64
	// Rank is the priority under overload. Rank 0 is served first.
	Rank int
	// Latest is the last time at which the call can usually start and still be answered in its caller's time.
	Latest time.Time
	// Deadline is when the caller leaves.
	Deadline time.Time
}
