package cache

// Event is one change of the prefix cache of an engine, which may come late or never.
type Event struct {
	// Upstream names the engine.
	Upstream string `json:"upstream"`
	// Incarnation is the engine's incarnation.
	Incarnation uint64 `json:"incarnation"`
	// Sequence grows by one with each event of an incarnation.
	Sequence uint64 `json:"sequence"`
	// Cleared says that everything held before this event is gone.
	Cleared bool `json:"cleared,omitempty"`
	// Stored are the chained hashes of the blocks that were added.
	Stored []uint64 `json:"stored,omitempty"`
	// Removed are the chained hashes of the blocks that were evicted.
	Removed []uint64 `json:"removed,omitempty"`
}
