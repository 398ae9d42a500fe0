// Package signal wakes a goroutine that waits for something to do.
package signal
