package cache

// Event is one change of the prefix cache of an engine. Events may arrive late or be lost.
type Event struct {
	// Upstream is the name of the engine.
	Upstream string `json:"upstream"`
	// Incarnation is the engine's incarnation.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows by one with each event of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Cleared means that the cache was emptied before this event.
	Cleared bool `json:"cleared,omitempty"`
	// Stored holds the chained hashes of the added blocks.
	Stored []uint64 `json:"stored,omitempty"`
	// Removed holds the chained hashes of the evicted blocks.
	Removed []uint64 `json:"removed,omitempty"`
}
