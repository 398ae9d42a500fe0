package ratestate

import "siskinrun/internal/base/duration"

// These are the outcomes of a request that is not refused.
const (
	// Admitted means that the host holds the units.
	Admitted = "admitted"
	// AsksOwner means that the host asks the owner of the rate for units; the owner decides.
	AsksOwner = "asks-owner"
)

// State is the rate of one team on one host and what a request would get of it.
type State struct {
	// Rate and Burst are those of the team in the configuration.
	Rate int64 `json:"rate"`
	// Burst is the burst of the team.
	Burst int64 `json:"burst"`
	// Cost is the price of the request in units.
	Cost int64 `json:"cost"`
	// Held is the number of units that the host may spend now.
	Held int64 `json:"held"`
	// Waiting is the number of requests of the team that wait for units on the host.
	Waiting int `json:"waiting"`
	// Group is the replica group whose leader owns the rate.
	Group uint64 `json:"owner-group"`
	// Outcome is Admitted, AsksOwner or the code of the refusal.
	Outcome string `json:"outcome"`
	// RetryAfter is the time that a refusal would name.
	RetryAfter duration.Duration `json:"retry-after"`
}
