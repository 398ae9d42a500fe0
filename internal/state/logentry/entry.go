package logentry

// Entry is one entry of a replicated log.
type Entry struct {
	// Index is the position in the log, counted from one.
	Index uint64
	// Term is the term of the leader that appended the entry.
	Term uint64
	// Kind says what Data holds.
	Kind Kind
	// Data is a command, an encoded member set or nothing.
	Data []byte
}

// Kind says what an entry does when it is applied.
type Kind uint8

const (
	// Command is applied to the state machine.
	Command Kind = iota
	// NoOp is appended by a new leader, which can't commit entries of earlier terms directly.
	NoOp
	// MembershipChange replaces the member set of the group.
	MembershipChange
)

// Size returns about how many bytes the entry takes in messages and on disk.
func (e Entry) Size() int {
	return len(e.Data) + overheadBytes
}

// overheadBytes is about the encoded size of the index, the term, the kind and the length of the data.
const overheadBytes = 24
