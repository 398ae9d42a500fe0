package candidate

import "siskinrun/internal/base/duration"

// Candidate is one upstream of a service with what decides whether it gets a request.
type Candidate struct {
	// Upstream is the name of the upstream.
	Upstream string `json:"upstream"`
	// FailureDomain is the failure domain of the upstream.
	FailureDomain string `json:"failure-domain"`
	// Version is the software version of the upstream, or empty.
	Version string `json:"version,omitempty"`
	// Slots is the number of requests that the upstream runs at a time.
	Slots int `json:"slots"`
	// Running is the number of online requests at the upstream, as far as this host knows, Batch that of batch requests.
	Running int `json:"running"`
	// Batch is the number of batch requests at the upstream, as far as this host knows.
	Batch int `json:"batch"`
	// Score is the expected cost of one more request, nil if the upstream may get none. The least goes first.
	Score *float64 `json:"score,omitempty"`
	// Chosen means that the request would be sent there.
	Chosen bool `json:"chosen"`
	// Reason is why the upstream is chosen or skipped.
	Reason string `json:"reason"`
	// Announced is the time since the upstream announced itself, nil if this host has not heard it do so.
	Announced *duration.Duration `json:"announced-age,omitempty"`
	// Reported is the time since the latest load report was measured, nil if there is none.
	Reported *duration.Duration `json:"report-age,omitempty"`
}
