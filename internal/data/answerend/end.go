package answerend

// End is how the body of an upstream's answer ended.
type End uint8

const (
	// Open means that the body has not ended.
	Open End = iota
	// Complete means that the framing of the answer says that its body is whole.
	Complete
	// Closed means that the connection was closed, by which an answer without a framing ends and any other breaks off.
	Closed
	// Reset means that the connection was reset.
	Reset
	// TimedOut means that the upstream was silent for too long.
	TimedOut
	// Cancelled means that this host gave the answer up.
	Cancelled
	// Malformed means that what came is no part of the answer.
	Malformed
)

// String implements fmt.Stringer.
func (e End) String() string {
	switch e {
	case Complete:
		return "complete"
	case Closed:
		return "closed"
	case Reset:
		return "reset"
	case TimedOut:
		return "timed-out"
	case Cancelled:
		return "cancelled"
	case Malformed:
		return "malformed"
	default:
		return ""
	}
}
