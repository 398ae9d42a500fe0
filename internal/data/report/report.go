package report

import "siskinrun/internal/base/span"

// Report is the load of one upstream at a past moment.
type Report struct {
	// Upstream names the sender.
	Upstream string `json:"upstream"`
	// Incarnation is the sender's incarnation.
	Incarnation uint64 `json:"incarnation"`
	// Running is the number of requests being worked on.
	Running int `json:"running"`
	// Waiting is the number of requests not yet begun.
	Waiting int `json:"waiting"`
	// CacheUsed is the used share of the prefix cache in parts of a thousand.
	CacheUsed int `json:"cache-used"`
	// Age is the time between measuring and sending.
	Age span.Span `json:"age,omitempty"`
}
