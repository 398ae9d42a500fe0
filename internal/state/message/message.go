package message

import (
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/memberset"
)

// Message is one message between two members of a group.
type Message struct {
	// Kind says what the message requests or answers.
	Kind Kind
	// From is the sender.
	From identity.Identity
	// To is the receiver; a host with any other identity drops the message.
	To identity.Identity
	// Term is the sender's term, or the term that a pre-vote would start.
	Term uint64
	// Index is the index before Entries, the last index of a candidate's log, the index of a snapshot, or the index that a reply is about.
	Index uint64
	// LogTerm is the term of the entry at Index.
	LogTerm uint64
	// Commit is the highest index that the leader knows to be committed.
	Commit uint64
	// Round numbers the leader's heartbeats; replies echo it.
	Round uint64
	// Reject says that the receiver refused the request.
	Reject bool
	// Hint is the index that a leader tries next after a rejection, or the last index stored.
	Hint uint64
	// Force requests a vote although a leader is alive, because that leader hands over to the candidate.
	Force bool
	// Entries follow the entry at Index.
	Entries []logentry.Entry
	// Offset is the offset of Data in the snapshot, or in a reply the next offset expected.
	Offset uint64
	// Data is a chunk of a snapshot.
	Data []byte
	// Last marks the last chunk of a snapshot.
	Last bool
	// Members is the member set at the index of a snapshot.
	Members memberset.Set
}

// Kind says what a message requests or answers.
type Kind uint8

const (
	// PreVote asks whether a vote would be granted.
	PreVote Kind = iota + 1
	// PreVoteReply answers PreVote.
	PreVoteReply
	// Vote asks for a vote.
	Vote
	// VoteReply answers Vote.
	VoteReply
	// Append carries entries.
	Append
	// AppendReply answers Append.
	AppendReply
	// Heartbeat shows that the leader is alive.
	Heartbeat
	// HeartbeatReply answers Heartbeat.
	HeartbeatReply
	// Chunk carries a chunk of a snapshot.
	Chunk
	// ChunkReply answers Chunk.
	ChunkReply
	// TimeoutNow asks the receiver to start an election at once and take over the leadership.
	TimeoutNow
)
