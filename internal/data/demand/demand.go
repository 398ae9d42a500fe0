package demand

// Demand holds the requirements of one request for the choice of its upstream.
type Demand struct {
	// Service is the name under which upstreams announce themselves.
	Service string
	// Version is the software version that the upstream must have, empty for any.
	Version string
	// Model is model@version or model@version+adapter. It omits @version for any version and is empty for plain services.
	Model string
	// PrefixHashes holds the chained hashes of the blocks of the prompt.
	PrefixHashes []uint64
	// FailureDomain is the failure domain of the requesting host.
	FailureDomain string
	// Tried lists the upstreams of earlier attempts.
	Tried []string
	// Batch marks a request of a batch job.
	Batch bool
	// Repeatable means that a failed attempt may be retried on another upstream.
	Repeatable bool
}
