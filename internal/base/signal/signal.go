package signal

// Signal is received once after any number of calls of Set.
type Signal chan struct{}

// NewSignal returns a signal that is not set.
func NewSignal() Signal {
	return make(Signal, 1)
}

// Set sets the signal and never blocks.
func (s Signal) Set() {
	select {
	case s <- struct{}{}:
	default:
	}
}
