package itemanswer

import "siskinrun/internal/data/streamstart"

// Answer is an upstream's answer to a batch item, possibly incomplete.
type Answer struct {
	// Status is the HTTP status.
	Status int
	// Body is the complete body.
	Body []byte
	// NextEvent is the number of the first missing event if the run ended early, or zero.
	NextEvent uint64
	// Text is the output before that event.
	Text []byte
	// Start is the software that made the text.
	Start streamstart.Start
}
