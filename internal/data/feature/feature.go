package feature

// Set is a set of features of the replicated state and of the rates' owners, each a bit. The bits are part of the gossip: one that is
// retired isn't used again.
type Set uint64

const (
	// Evacuation is the evacuation of failure domains.
	Evacuation Set = 1 << 0
	// ColdUpstreams is how long upstreams of a service are cold and what they bear meanwhile.
	ColdUpstreams Set = 1 << 1
	// Deputies is that owners of rates leave a share to a deputy in each failure domain.
	Deputies Set = 1 << 2
	// JobsByDeadline is the leasing of batch items in the order of their jobs' deadlines, which ledgers apply.
	JobsByDeadline Set = 1 << 3
	// Configuration holds the features of the replicated configuration that this build knows.
	Configuration = Evacuation | ColdUpstreams
	// Known holds the features that this build knows.
	Known = Configuration | Deputies | JobsByDeadline
)

// Has reports whether a set holds all features of another.
func (s Set) Has(other Set) bool {
	return s&other == other
}
