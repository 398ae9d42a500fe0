package effect

import (
	"siskinrun/internal/state/ballot"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/message"
)

// Effect is what the driver does after an event, in the order of the fields after WriteID.
type Effect struct {
	// WriteID numbers the effects that must be made durable.
	WriteID uint64
	// Send are messages to send at once, as they depend on nothing still to be made durable.
	Send []message.Message
	// Ballot, if set, is made durable.
	Ballot *ballot.Ballot
	// Entries are made durable; the first replaces whatever the log holds from its index on.
	Entries []logentry.Entry
	// Chunk, if set, is a snapshot chunk to store; the last chunk replaces the log and the state machine.
	Chunk *message.Message
	// SendAfterSync are messages to send once everything above is durable.
	SendAfterSync []message.Message
	// Committed are entries to apply.
	Committed []logentry.Entry
	// Reads are the reads that a quorum has confirmed.
	Reads []Read
	// RefusedReads are the numbers of the reads that this replica can't serve.
	RefusedReads []uint64
}

// Read is a confirmed read, to be served once the state machine has applied Index.
type Read struct {
	// ID is the number that the caller gave the read.
	ID uint64
	// Index is the log index that the state machine must have applied.
	Index uint64
}

// IsEmpty reports whether there is nothing to do.
func (e *Effect) IsEmpty() bool {
	return len(e.Send) == 0 && !e.IsDurable() && len(e.SendAfterSync) == 0 &&
		len(e.Committed) == 0 && len(e.Reads) == 0 && len(e.RefusedReads) == 0
}

// IsDurable reports whether something must be made durable.
func (e *Effect) IsDurable() bool {
	return e.Ballot != nil || len(e.Entries) > 0 || e.Chunk != nil
}
