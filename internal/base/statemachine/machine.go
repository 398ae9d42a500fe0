package statemachine

import "io"

// Machine is a deterministic state machine. Its state changes only through Apply and Restore.
type Machine interface {
	// Apply applies one committed command and returns the outcome for its proposer.
	Apply(index uint64, command []byte) []byte
	// Snapshot writes the whole state.
	Snapshot(w io.Writer) error
	// Restore replaces the whole state with one that Snapshot wrote.
	Restore(r io.Reader) error
}
