package crashevidence

import "time"

// Evidence is what one host tells another. All ages are relative to the time of sending.
type Evidence struct {
	// Losses are calls whose upstream was lost.
	Losses []Loss
	// Good are traits of calls that an upstream has begun to answer.
	Good []Good
	// Fingerprint is that of all that the sender knows, zero if it is not told.
	Fingerprint uint64
}

// Loss is a call whose upstream was lost before it began to answer.
type Loss struct {
	// ID identifies the loss, the same on all hosts.
	ID uint64
	// Upstream identifies the incarnation of the upstream.
	Upstream uint64
	// Age is the time since the loss.
	Age time.Duration
	// SentBefore is the time from the sending of the call to its loss.
	SentBefore time.Duration
	// After is the ID of the last loss with one of the traits that was known when the call was sent, zero if there was none.
	After uint64
	// Idle is the time since the loss last kept a call away, at most Age.
	Idle time.Duration
	// Answering means that the headers of the answer had come.
	Answering bool
	// Traits are those traits of the call that may be the cause.
	Traits []Trait
}

// Good is a trait of calls that an upstream has begun to answer.
type Good struct {
	// Trait is the trait.
	Trait Trait
	// Age is the time since the answer began.
	Age time.Duration
}
