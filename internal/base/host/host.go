package host

// Host is one host as the others know it.
type Host struct {
	// Name identifies the host.
	Name string `json:"name"`
	// FailureDomain is where the host runs.
	FailureDomain string `json:"failure-domain"`
}
