// Package machine defines the state machine that a replicated log drives.
package machine
