package message

import (
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/memberset"
)

// Message is one message between two members of a group.
type Message struct {
	// Kind says what the message asks or answers.
	Kind Kind
	// From is the sender.
	From identity.Identity
	// To is the receiver; any other disk drops the message.
	To identity.Identity
	// Term is the sender's term, or the term that a pre-vote would start.
	Term uint64
	// Index is the place before Entries, the last place of a candidate's log, or the place that an answer is about.
	Index uint64
	// LogTerm is the term of the entry at Index.
	LogTerm uint64
	// Commit is the highest place that the leader knows to be committed.
	Commit uint64
	// Round numbers the leader's heartbeats and is echoed by answers.
	Round uint64
	// Reject says that the receiver did not do what was asked.
	Reject bool
	// Hint is the place that a rejected leader tries next, or the last place stored.
	Hint uint64
	// Force asks for a vote although a leader is alive, since it hands over.
	Force bool
	// Entries follow the entry at Index.
	Entries []logentry.Entry
	// Offset is the place of Data in the snapshot.
	Offset uint64
	// Data is a part of a snapshot.
	Data []byte
	// Last marks the last part of a snapshot.
	Last bool
	// Members is the membership at the place of a snapshot.
	Members memberset.Set
}

// Kind says what a message asks or answers.
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
	// Chunk carries a part of a snapshot.
	Chunk
	// ChunkReply answers Chunk.
	ChunkReply
	// TimeoutNow asks the receiver to take over the leadership.
	TimeoutNow
)
