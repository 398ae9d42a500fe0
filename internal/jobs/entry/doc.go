// Package entry holds the commands, answers and saved state of the batch ledger.
package entry
