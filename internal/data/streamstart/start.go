package streamstart

// Start is the software that began a stream; only the same software may go on with it.
type Start struct {
	// Service is the service of the upstream that sent the first event.
	Service string
	// Version is the software version of that upstream, empty if it is not known.
	Version string
}

// Known reports whether the version is known, without which a stream goes on nowhere.
func (s Start) Known() bool {
	return s.Version != ""
}
