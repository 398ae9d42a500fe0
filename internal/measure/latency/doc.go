// Package latency records latencies in an HDR histogram.
package latency
