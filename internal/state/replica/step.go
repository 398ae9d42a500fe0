package replica

import (
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/message"
)

// Step handles a message from another member.
func (r *Replica) Step(now time.Time, m message.Message) {
	if m.To != r.Self {
		return
	}
	switch m.Kind {
	case message.PreVote:
		r.onPreVote(now, m)
	case message.Vote:
		r.onVote(now, m)
	case message.PreVoteReply:
		r.onPreVoteReply(now, m)
	case message.Append, message.Heartbeat, message.Chunk, message.TimeoutNow:
		r.onLeaderMessage(now, m)
	case message.VoteReply, message.AppendReply, message.HeartbeatReply, message.ChunkReply:
		r.onReply(now, m)
	}
}

func (r *Replica) onLeaderMessage(now time.Time, m message.Message) {
	if m.Term < r.ballot.Term {
		r.sendAfterSync(message.Message{Kind: message.HeartbeatReply, To: m.From, Reject: true})
		return
	}
	if m.Term == r.ballot.Term && (r.role == roleLeader || !r.leader.IsZero() && r.leader != m.From) {
		r.fail(errors.Newf("term %d has two leaders, %s and %s", m.Term, r.leader, m.From))
		return
	}
	if m.Kind == message.TimeoutNow {
		r.onTimeoutNow(now, m)
		return
	}
	r.follow(now, m.Term, m.From)
	r.lastLeaderContact = now
	r.resetElectionTimer(now)
	switch m.Kind {
	case message.Append:
		r.onAppend(m)
	case message.Chunk:
		r.onChunk(m)
	default:
		r.onHeartbeat(m)
	}
}

func (r *Replica) onHeartbeat(m message.Message) {
	if !r.installing() {
		r.commitTo(m.Commit)
	}
	a := message.Message{Kind: message.HeartbeatReply, To: m.From, Round: m.Round}
	if !r.ballotDurable() {
		r.sendAfterSync(a)
		return
	}
	r.send(a)
}

func (r *Replica) onAppend(m message.Message) {
	if r.installing() {
		return
	}
	a := message.Message{Kind: message.AppendReply, To: m.From, Index: m.Index, Round: m.Round}
	if m.Index < r.commitIndex {
		a.Hint = r.commitIndex
		r.sendAfterSync(a)
		return
	}
	if t, ok := r.log.term(m.Index); !ok || t != m.LogTerm {
		a.Reject = true
		a.Hint = r.log.conflictHint(m.Index)
		r.sendAfterSync(a)
		return
	}
	r.mergeEntries(m.Entries)
	a.Hint = m.Index + uint64(len(m.Entries))
	r.commitTo(min(m.Commit, a.Hint))
	r.sendAfterSync(a)
}

// mergeEntries appends new entries and drops those that conflict with them.
func (r *Replica) mergeEntries(entries []logentry.Entry) {
	for i, e := range entries {
		t, ok := r.log.term(e.Index)
		if ok && t == e.Term {
			continue
		}
		if ok {
			r.truncateLog(e.Index)
		}
		r.log.append(entries[i:]...)
		for _, n := range entries[i:] {
			r.members.append(n)
		}
		r.out.Entries = append(r.out.Entries, entries[i:]...)
		return
	}
}

func (r *Replica) truncateLog(index uint64) {
	if index <= r.commitIndex {
		r.fail(errors.Newf("the committed entry at %d would be replaced", index))
		return
	}
	r.log.truncate(index)
	r.members.truncate(index)
	r.dropPendingAfter(index - 1)
}

func (r *Replica) onChunk(m message.Message) {
	if m.Index <= r.commitIndex {
		r.sendAfterSync(message.Message{Kind: message.AppendReply, To: m.From, Index: m.Index, Hint: r.commitIndex, Round: m.Round})
		return
	}
	if r.installing() {
		return
	}
	if t, ok := r.log.term(m.Index); ok && t == m.LogTerm {
		r.incoming = nil
		r.commitTo(m.Index)
		r.sendAfterSync(message.Message{Kind: message.AppendReply, To: m.From, Index: m.Index, Hint: m.Index, Round: m.Round})
		return
	}
	i := r.incoming
	if m.Offset == 0 {
		i = &incomingSnapshot{position: position{m.Index, m.LogTerm, m.Members}}
		r.incoming = i
	}
	if i == nil || i.index != m.Index || i.term != m.LogTerm {
		r.sendAfterSync(message.Message{Kind: message.ChunkReply, To: m.From, Index: m.Index, Round: m.Round})
		return
	}
	if i.offset == m.Offset && r.out.Chunk == nil {
		c := m
		r.out.Chunk = &c
		i.offset += uint64(len(m.Data))
		i.complete = m.Last
	}
	r.sendAfterSync(message.Message{Kind: message.ChunkReply, To: m.From, Index: m.Index, Offset: i.offset, Round: m.Round})
}
