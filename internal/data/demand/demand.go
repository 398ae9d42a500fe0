package demand

// Demand is what one request needs from the upstream that is chosen for it.
type Demand struct {
	// Service is the name under which upstreams announce themselves.
	Service string
	// Model is model@version or model@version+adapter, without @version for any, or empty for plain services.
	Model string
	// Prefix are the chained hashes of the blocks of the prompt.
	Prefix []uint64
	// FailureDomain is where the host that asks runs.
	FailureDomain string
	// Tried names the upstreams that were tried before.
	Tried []string
	// Batch says that the request belongs to a batch job.
	Batch bool
	// Repeatable says that a failed attempt may be repeated elsewhere.
	Repeatable bool
}
