package host

// Host identifies a host to the other hosts.
type Host struct {
	// Name identifies the host.
	Name string `json:"name"`
	// FailureDomain is the failure domain in which the host runs.
	FailureDomain string `json:"failure-domain"`
}
