package outcome

// Outcome says how an exchange with an upstream ended, as far as the upstream is concerned.
type Outcome uint8

const (
	// Succeeded means that the upstream gave its whole answer.
	Succeeded Outcome = iota
	// Failed means that the upstream refused the connection, broke it or answered with a fault of its own.
	Failed
	// TimedOut means that the upstream stayed silent beyond the bound.
	TimedOut
	// Unreachable means that no connection came about, so that nothing was sent.
	Unreachable
	// Cancelled means that this side ended the exchange, which says nothing about the upstream.
	Cancelled
)

var names = [...]string{"succeeded", "failed", "timed-out", "unreachable", "cancelled"}

// String returns the name that logs and metrics carry.
func (o Outcome) String() string {
	if int(o) >= len(names) {
		return "unknown"
	}
	return names[o]
}
