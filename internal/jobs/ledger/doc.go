// Package ledger implements the replicated state machine of batch work: files, jobs, item leases and results.
package ledger
