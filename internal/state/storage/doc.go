// Package storage joins the journal and the snapshots of one replica group.
package storage
