// Package decisionlog keeps the latest decisions of a host in a ring buffer.
package decisionlog
