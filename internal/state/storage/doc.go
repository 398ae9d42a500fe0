// Package storage combines the journal and the snapshots of one replica group.
package storage
