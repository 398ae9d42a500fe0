// Package snapshot stores the snapshots of one replica group in checksummed files.
package snapshot
