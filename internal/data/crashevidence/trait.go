package crashevidence

// Trait is what calls may have in common that makes upstreams crash: a part of their prompts, or the whole request.
type Trait struct {
	// Hash is the hash of the part or the digest of the request.
	Hash uint64
	// Request means that the trait is a whole request.
	Request bool
}
