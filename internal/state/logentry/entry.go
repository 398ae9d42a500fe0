package logentry

// Entry is one place of a replicated log.
type Entry struct {
	// Index is the place in the log, counted from one.
	Index uint64
	// Term is the term of the leader that appended the entry.
	Term uint64
	// Kind says what Data means.
	Kind Kind
	// Data is a command, a quorum or nothing.
	Data []byte
}

// Kind says what an entry does when it is applied.
type Kind uint8

const (
	// Command is applied to the state machine.
	Command Kind = iota
	// NoOp marks the start of a leader's term.
	NoOp
	// MembershipChange replaces the quorum of the group.
	MembershipChange
)

// Size returns the bytes that the entry takes in messages and on disk, roughly.
func (e Entry) Size() int {
	return len(e.Data) + overheadBytes
}

const overheadBytes = 24
