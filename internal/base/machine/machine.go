package machine

import "io"

// Machine is a deterministic state that changes only by applied commands.
type Machine interface {
	// Apply changes the state by one committed command and returns the outcome for its proposer.
	Apply(index uint64, command []byte) []byte
	// Snapshot writes the whole state.
	Snapshot(w io.Writer) error
	// Restore replaces the whole state by what Snapshot wrote.
	Restore(r io.Reader) error
}
