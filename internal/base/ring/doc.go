// Package ring provides a bounded FIFO queue between goroutines.
package ring
