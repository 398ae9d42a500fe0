// Package journal implements the write-ahead log of one replica group in checksummed segment files. It holds the log
// entries and the ballot, which is the current term and vote.
package journal
