// Package filestore stores the contents of batch files and results on disk.
package filestore
