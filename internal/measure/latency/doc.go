// Package latency collects times in a histogram of high dynamic range.
package latency
