package hoststatus

import "siskinrun/internal/base/duration"

// Status is the configuration status of one host. Unless Reachable is set, Version, Fresh and Age are zero.
type Status struct {
	// Host is the name of the host.
	Host string `json:"host"`
	// FailureDomain is the failure domain of the host.
	FailureDomain string `json:"failure-domain"`
	// Control reports whether the host holds the replicated state.
	Control bool `json:"control"`
	// Reachable reports whether the host answered.
	Reachable bool `json:"reachable"`
	// Version is the configuration version in force on the host.
	Version uint64 `json:"version"`
	// Fresh reports whether the host admits keyed requests.
	Fresh bool `json:"fresh"`
	// Age is the time since a quorum confirmed the version, if one did.
	Age duration.Duration `json:"age,omitempty"`
}
