package choice

import (
	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/candidate"
)

// Choice is the upstream that one request would go to, beside all that were weighed.
type Choice struct {
	// Upstream is the name of the chosen upstream, empty if there is none.
	Upstream string `json:"upstream,omitempty"`
	// FailureDomain is the failure domain to which the request would go, as far as its domain decides.
	FailureDomain string `json:"failure-domain,omitempty"`
	// Leaving is why calls leave the failure domain or stay in it, empty if that is not decided for the service.
	Leaving string `json:"leaving,omitempty"`
	// NextPermit is the time until an upstream has a permit, nil if a permit is not what is missing.
	NextPermit *duration.Duration `json:"next-permit,omitempty"`
	// Heard is the time since this host heard of the counts of another one, nil if it has heard of none.
	Heard *duration.Duration `json:"heard-age,omitempty"`
	// Candidates are all upstreams of the service, by name.
	Candidates []candidate.Candidate `json:"candidates"`
}
