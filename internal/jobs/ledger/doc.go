// Package ledger is the replicated state of batch work: files, jobs, item leases and results.
package ledger
