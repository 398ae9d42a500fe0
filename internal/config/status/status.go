package status

import "siskinrun/internal/base/span"

// Status is what one host says of itself, or that it does not answer.
type Status struct {
	// Host is the name of the host.
	Host string `json:"host"`
	// FailureDomain is where the host runs.
	FailureDomain string `json:"failure-domain"`
	// Control says that the host keeps the replicated state.
	Control bool `json:"control"`
	// Reachable says that the host answered.
	Reachable bool `json:"reachable"`
	// Version is the configuration in force on the host.
	Version uint64 `json:"version"`
	// Fresh says that the host admits keyed requests.
	Fresh bool `json:"fresh"`
	// Age is the time since a quorum confirmed the version, if one did.
	Age span.Span `json:"age,omitempty"`
}
