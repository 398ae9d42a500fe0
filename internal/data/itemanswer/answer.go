package itemanswer

// Answer is the whole answer of an upstream.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Body is the whole body.
	Body []byte
	// Next is the number of the first event that is missing where a run ended early, or zero.
	Next uint64
	// Text is the output up to that event.
	Text []byte
}
