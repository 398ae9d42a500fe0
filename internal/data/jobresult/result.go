package jobresult

// Result is the recorded end of one item.
type Result struct {
	// Name is the owner's name for the item.
	Name string
	// Done says that the item has its whole output; without it the item was given up.
	Done bool
	// Output is the data of all events, separated by line feeds.
	Output []byte
}
