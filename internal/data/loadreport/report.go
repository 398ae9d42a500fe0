package loadreport

import "siskinrun/internal/base/duration"

const (
	// UsualPace is the pace at which work takes its usual time.
	UsualPace = 100
	// MinPace and MaxPace bound a pace, so that no report rules an upstream out or attracts all calls.
	MinPace = 10
	// MaxPace is the upper bound.
	MaxPace = 5000
)

// BoundPace returns a reported pace within its bounds, and zero for one that can't be meant.
func BoundPace(pace int) int {
	if pace <= 0 {
		return 0
	}
	return min(max(pace, MinPace), MaxPace)
}

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
	// Pace is how long work takes at present in hundredths of the usual time, zero if the upstream does not report it.
	Pace int `json:"pace,omitempty"`
	// Age is the time between measurement and sending.
	Age duration.Duration `json:"age,omitempty"`
}
