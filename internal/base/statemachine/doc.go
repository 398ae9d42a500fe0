// Package statemachine defines the interface of a state machine that a replicated log drives.
package statemachine
