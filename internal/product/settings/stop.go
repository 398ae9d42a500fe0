package settings

import "time"

const (
	// killMargin is the time before a host would be killed in which it ends by itself.
	killMargin = 500 * time.Millisecond
	// drainDivisor is the part of the time of a stop in which a host still takes new connections, at most.
	drainDivisor = 2
)

// Stop returns how long a stopping host keeps answering before it closes its listeners, and how long it waits for its calls, zero
// for as long as they take. Both end before the host is killed, if that time is known.
func (f Fleet) Stop() (drain, timeout time.Duration) {
	drain, timeout = f.DrainTime.Duration(), f.StopTimeout.Duration()
	g := f.StopGrace.Duration()
	if g <= 0 {
		return drain, timeout
	}
	g = max(g-killMargin, g/drainDivisor)
	if timeout <= 0 || timeout > g {
		timeout = g
	}
	return min(drain, timeout/drainDivisor), timeout
}
