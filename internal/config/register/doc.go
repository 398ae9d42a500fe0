// Package register is the replicated state machine that holds the configuration and its history.
package register
