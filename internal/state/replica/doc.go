// Package replica implements one member of a Raft group as a state machine without clock or I/O.
package replica
