// Package batch implements the batch API on top of the replicated ledgers.
package batch
