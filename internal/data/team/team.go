package team

// Team is a paying customer with a rate limit over the whole fleet.
type Team struct {
	// Rate is the number of cost units per second that the team may spend.
	Rate int64 `json:"rate"`
	// Burst is the number of cost units that the team may spend at once.
	Burst int64 `json:"burst"`
	// Weight is the share of a busy fleet relative to other teams.
	Weight int64 `json:"weight"`
	// Rank overrides the rank of routes if Ranked is set. Rank 0 is served first.
	Rank int `json:"rank,omitempty"`
	// Ranked means that Rank is set.
	Ranked bool `json:"ranked,omitempty"`
	// MaxStoredBytes is the storage quota of the team's files and results, in bytes.
	MaxStoredBytes int64 `json:"stored-bytes"`
}

// RankOn returns the rank of the team's requests on a route of the given rank.
func (t Team) RankOn(route int) int {
	if t.Ranked {
		return t.Rank
	}
	return route
}
