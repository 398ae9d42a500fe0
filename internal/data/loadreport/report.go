package loadreport

import "siskinrun/internal/base/duration"

// Report is the load of one upstream at the time of measurement.
type Report struct {
	// Upstream is the name of the sender.
	Upstream string `json:"upstream"`
	// Incarnation is the sender's incarnation.
	Incarnation uint64 `json:"incarnation"`
	// Running is the number of running requests.
	Running int `json:"running"`
	// Waiting is the number of queued requests.
	Waiting int `json:"waiting"`
	// CacheUsed is the used share of the prefix cache in thousandths.
	CacheUsed int `json:"cache-used"`
	// Age is the time between measurement and sending.
	Age duration.Duration `json:"age,omitempty"`
}
