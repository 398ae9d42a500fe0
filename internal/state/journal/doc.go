// Package journal keeps the log and the ballot of one replica group in checksummed segments.
package journal
