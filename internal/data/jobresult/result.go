package jobresult

// Result is the recorded result of one item.
type Result struct {
	// Name is the owner's name for the item.
	Name string
	// Done means that the output is complete. Otherwise the item was abandoned.
	Done bool
	// Output is the data of all events, separated by line feeds.
	Output []byte
}
