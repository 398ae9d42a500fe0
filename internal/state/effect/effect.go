package effect

import (
	"siskinrun/internal/state/ballot"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/message"
)

// Effect is what the driver does after an event, in the order of the fields that follow the mark.
type Effect struct {
	// WriteID numbers the effects that must be made durable.
	WriteID uint64
	// Send are messages that promise nothing new and leave at once.
	Send []message.Message
	// Ballot, if set, is made durable.
	Ballot *ballot.Ballot
	// Entries are made durable; the first replaces whatever the log holds from its index on.
	Entries []logentry.Entry
	// Chunk, if set, is a part of a snapshot to store; the last part replaces the log and the machine.
	Chunk *message.Message
	// SendAfterSync are messages that leave once everything above is durable.
	SendAfterSync []message.Message
	// Committed are entries to apply.
	Committed []logentry.Entry
	// Reads are the questions that a quorum has confirmed.
	Reads []Read
	// RefusedReads are the numbers of the questions that this replica can't answer.
	RefusedReads []uint64
}

// Read is a question whose answer may be read once the machine has applied Index.
type Read struct {
	// ID is the number that the asker gave.
	ID uint64
	// Index is the place that the machine must have applied.
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
