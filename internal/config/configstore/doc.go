// Package configstore is the replicated state machine that holds the configuration and its history.
package configstore
