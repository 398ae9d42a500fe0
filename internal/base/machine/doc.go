// Package machine describes a state machine that a replicated log drives.
package machine
