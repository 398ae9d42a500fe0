package filesystem

// System holds files by their paths.
type System interface {
	// Open opens a file for appending and creates it if it does not exist.
	Open(path string) (File, error)
	// Truncate changes the size of a file.
	Truncate(path string, size int64) error
	// Rename renames a file.
	Rename(from, to string) error
	// Remove deletes a file.
	Remove(path string) error
	// SyncFolder makes created, renamed and removed names durable.
	SyncFolder(path string) error
}
