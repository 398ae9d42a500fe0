package pipeline

import (
	"time"

	"siskinrun/internal/data/call"
	"siskinrun/pkg/refusal"
)

// returnShare is the share of its time that a caller spends at most before it comes back; after more, too little is left for an
// answer.
const returnShare = 1.0 / 3

// tellReturn shortens the Retry-After of a refused call to what its caller can wait, if another host or a later moment may serve
// it. A caller that has spent its rate, or whose request ends upstreams, is told the whole time.
func tellReturn(f *refusal.Refusal, c *call.Call, now time.Time) *refusal.Refusal {
	if f.Status != statusUnavailable || f.Code == refusal.CodeCrashingPrompt || f.RetryAfter <= 0 || c.ClientTimeout <= 0 {
		return f
	}
	left := c.Arrived.Add(c.ClientTimeout).Sub(now)
	most := time.Duration(returnShare * float64(left))
	return f.WithRetryAfter(max(min(f.RetryAfter, most), time.Millisecond))
}
