package permit

import (
	"time"

	"siskinrun/internal/data/upstreamlimit"
)

// Permit is the answer to a request that wants to be sent to an upstream.
type Permit struct {
	// Granted means that the request may be sent once Wait has passed.
	Granted bool
	// Wait is the time until the request may be sent, or after which a refused one may ask again.
	Wait time.Duration
	// CommittedIn and PeakIn are the times until further requests may be sent at the rate that the upstream names and at the
	// rate that it bears for a while.
	CommittedIn time.Duration
	PeakIn      time.Duration
	// Saved is how much of what is saved up at the rate that the upstream names is left, from 0 to 1.
	Saved float64
	// Room is how many more requests may be sent at once.
	Room int
	// Limit is the rate limit that applied, zero if there is none.
	Limit upstreamlimit.Limit
}
