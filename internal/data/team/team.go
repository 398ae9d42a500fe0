package team

// Team is a paying customer with a rate over the whole fleet.
type Team struct {
	// Rate is the number of cost units that the team may spend a second.
	Rate int64 `json:"rate"`
	// Burst is the number of cost units that the team may spend at once.
	Burst int64 `json:"burst"`
	// Weight is the team's share of a busy fleet relative to other teams.
	Weight int64 `json:"weight"`
	// Rank goes before the rank of routes if Ranked is set, 0 first.
	Rank int `json:"rank,omitempty"`
	// Ranked says that the team has a rank of its own.
	Ranked bool `json:"ranked,omitempty"`
	// StoredBytes is the most that the team's files and results may take.
	StoredBytes int64 `json:"stored-bytes"`
}
