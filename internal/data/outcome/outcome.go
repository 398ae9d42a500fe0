package outcome

// Outcome is the result of an exchange with an upstream, as evidence of the upstream's health.
type Outcome uint8

const (
	// Succeeded means that the upstream sent its complete answer.
	Succeeded Outcome = iota
	// Failed means that the upstream refused, or answered with an error of its own.
	Failed
	// TimedOut means that the upstream did not answer in time.
	TimedOut
	// Unreachable means that no connection was established, so that nothing was sent.
	Unreachable
	// Cancelled means that this side ended the exchange, which is no evidence about the upstream.
	Cancelled
	// Broken means that the connection ended before the complete answer, as when the upstream's process ends.
	Broken
	// PathLost means that the way to the upstream was lost under the exchange, which is no evidence about the upstream.
	PathLost
)

var names = [...]string{"succeeded", "failed", "timed-out", "unreachable", "cancelled", "broken", "path-lost"}

// String returns the name used in logs and metrics.
func (o Outcome) String() string {
	if int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}
