package pathanswer

// Answer is what a host says that was asked which upstreams it reaches.
type Answer struct {
	// Asked are the upstreams in question, and Reached those of them that the host reaches by itself.
	Asked, Reached []string
	// Proof means that the host has connected to those that it reaches moments ago.
	Proof bool
	// Lost are all upstreams that the host does not reach by itself.
	Lost []string
	// Linked means that the host has connected to some upstream moments ago, so that it has not lost all links.
	Linked bool
	// Busy is the number of calls and tunnels that the host has in flight, and Full means that it takes no more tunnels.
	Busy int
	Full bool
}
