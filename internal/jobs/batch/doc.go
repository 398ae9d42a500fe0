// Package batch takes files and jobs from callers and keeps them in the replicated ledgers.
package batch
