package crashevidence

// Quarantined is a trait that is kept from upstreams, as operators see it.
type Quarantined struct {
	// Kind is prompt-part or request.
	Kind string `json:"kind"`
	// Trait is its hash in hexadecimal, as in the log.
	Trait string `json:"trait"`
	// Ends is the number of upstreams that count against it.
	Ends int `json:"ends"`
	// Route, Team and Path describe a call with it under which the host lost an upstream, and are empty without one.
	Route string `json:"route,omitempty"`
	Team  string `json:"team,omitempty"`
	Path  string `json:"path,omitempty"`
}
