package settings

const (
	// clientShare is the share of the runtime's memory that clients may hold: the rest is for the host itself and for garbage
	// between two collections.
	clientShare = 3
	// programBytes is kept of the machine's memory for the pages of the program and what the runtime exceeds its limit by: 17 MB
	// were measured under abusive load.
	programBytes = 24_000_000
	// fileDescriptors is the number of descriptors for files.
	fileDescriptors = 200
	// minBodies is how many of the largest bodies the clients' memory must hold: one that grows is held one and a half times,
	// and three quarters of the memory are for one address.
	minBodies = 4
	// addressShare is the part of the clients' memory for one address, in quarters.
	addressShare = 3
	// jobBodies is how many of the largest bodies a submitted job takes beside its own, and wholeJob with it while it grows.
	jobBodies = 3
	wholeJob  = 5
	// hostBytes is what the host itself takes of the runtime's memory.
	hostBytes = 8_000_000
)

// RuntimeBytes returns the memory limit of the Go runtime, zero for none.
func (l Limits) RuntimeBytes() int64 {
	m := l.MemoryBytes
	return max(m/2, min(m/4*3, m-programBytes))
}

// ClientBytes returns how many bytes clients may hold, zero for no bound.
func (l Limits) ClientBytes() int64 {
	if l.ClientMemoryBytes > 0 || l.MemoryBytes <= 0 {
		return l.ClientMemoryBytes
	}
	return max(l.RuntimeBytes()/clientShare, minBodies*int64(l.BodyBytes))
}

// ClientConnections returns how many connections callers may open, zero for no bound. The other half of the descriptors is
// for upstreams, peers and operators.
func (l Limits) ClientConnections() int {
	if l.Descriptors <= 0 {
		return 0
	}
	return (l.Descriptors - fileDescriptors) / 2
}

// IdleUpstreamConnections returns how many connections to upstreams may be idle, zero for no bound: half of what is not for callers.
func (l Limits) IdleUpstreamConnections() int {
	return l.ClientConnections() / 2
}

// LargeBytes returns what one submitted job at a time may hold beyond ClientBytes, zero where it fits.
func (l Limits) LargeBytes() int64 {
	b := int64(l.BodyBytes)
	if n := l.ClientBytes(); n <= 0 || n*addressShare/4 >= wholeJob*b {
		return 0
	}
	return jobBodies * b
}

// minMemory returns the least memory of a machine in which the largest request fits, by the lengths that are permitted.
func (l Limits) minMemory() int64 {
	n := l.ClientMemoryBytes
	if n <= 0 {
		n = minBodies * int64(l.BodyBytes)
	}
	n += hostBytes + jobBodies*int64(l.BodyBytes)
	return max(n+programBytes, n/3*4)
}
