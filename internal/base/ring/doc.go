// Package ring joins two goroutines by a bounded first-in, first-out buffer.
package ring
