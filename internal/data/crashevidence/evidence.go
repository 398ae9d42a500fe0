package crashevidence

import "time"

// Evidence is what one host tells another. All ages are relative to the time of sending.
type Evidence struct {
	// Losses are calls whose upstream was lost.
	Losses []Loss
	// Good are parts of prompts on which an upstream has begun to answer.
	Good []Good
}

// Loss is a call whose upstream was lost before it began to answer.
type Loss struct {
	// ID identifies the loss, the same on all hosts.
	ID uint64
	// Upstream identifies the incarnation of the upstream.
	Upstream uint64
	// Age is the time since the loss.
	Age time.Duration
	// Answering means that the headers of the answer had come.
	Answering bool
	// Parts are the hashes of the parts of the prompt that may be the cause.
	Parts []uint64
}

// Good is a part of a prompt on which an upstream has begun to answer.
type Good struct {
	// Part is the hash of the part.
	Part uint64
	// Age is the time since the answer began.
	Age time.Duration
}
