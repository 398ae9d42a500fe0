package replica

import (
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/state/ballot"
	"siskinrun/internal/state/identity"
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

// inLeaderLease reports whether a leader may still hold a lease that this member granted.
func (r *Replica) inLeaderLease(now time.Time) bool {
	return r.role == roleLeader || now.Before(r.lastLeaderContact.Add(ElectionTimeout))
}

// upToDate reports whether a candidate's log is at least as up to date as this one.
func (r *Replica) upToDate(m message.Message) bool {
	if r.faults.skipLogCheck {
		return true
	}
	t := r.log.lastTerm()
	return m.LogTerm > t || m.LogTerm == t && m.Index >= r.log.last()
}

func (r *Replica) onPreVote(now time.Time, m message.Message) {
	ok := m.Term > r.ballot.Term && r.upToDate(m) && !r.inLeaderLease(now)
	if ok {
		r.send(message.Message{Kind: message.PreVoteReply, To: m.From, Term: m.Term})
		return
	}
	r.send(message.Message{Kind: message.PreVoteReply, To: m.From, Reject: true})
}

func (r *Replica) onPreVoteReply(now time.Time, m message.Message) {
	if m.Reject {
		if m.Term > r.ballot.Term {
			r.follow(now, m.Term, identity.Identity{})
		}
		return
	}
	if r.role != rolePreCandidate || m.Term != r.ballot.Term+1 {
		return
	}
	if r.recordVote(m.From) {
		r.campaign(now, false)
	}
}

func (r *Replica) onVote(now time.Time, m message.Message) {
	if !m.Force && r.inLeaderLease(now) {
		return
	}
	if m.Term > r.ballot.Term {
		r.follow(now, m.Term, identity.Identity{})
	}
	free := r.ballot.Vote.IsZero() || r.ballot.Vote == m.From || r.faults.forgetVote
	if m.Term != r.ballot.Term || r.role > rolePreCandidate || !free || !r.upToDate(m) {
		r.sendAfterSync(message.Message{Kind: message.VoteReply, To: m.From, Reject: true})
		return
	}
	if r.ballot.Vote != m.From {
		r.ballot.Vote = m.From
		r.persistBallot()
	}
	r.role = roleFollower
	r.resetElectionTimer(now)
	r.sendAfterSync(message.Message{Kind: message.VoteReply, To: m.From})
}

// preCampaign asks the voters whether they would grant their votes, without starting a term.
func (r *Replica) preCampaign(now time.Time) {
	r.role = rolePreCandidate
	r.votes = map[identity.Identity]bool{}
	for _, i := range r.members.current().Voters {
		if i != r.Self {
			r.send(message.Message{Kind: message.PreVote, To: i, Term: r.ballot.Term + 1, Index: r.log.last(), LogTerm: r.log.lastTerm()})
		}
	}
	if r.recordVote(r.Self) {
		r.campaign(now, false)
	}
}

// campaign starts a term and requests votes.
func (r *Replica) campaign(now time.Time, force bool) {
	r.role = roleCandidate
	r.leader = identity.Identity{}
	r.ballot = ballot.Ballot{Term: r.ballot.Term + 1, Vote: r.Self}
	r.persistBallot()
	r.votes = map[identity.Identity]bool{}
	r.resetElectionTimer(now)
	for _, i := range r.members.current().Voters {
		if i != r.Self {
			r.sendAfterSync(message.Message{Kind: message.Vote, To: i, Index: r.log.last(), LogTerm: r.log.lastTerm(), Force: force})
		}
	}
}

// recordVote records a vote and reports whether a majority has granted theirs.
func (r *Replica) recordVote(from identity.Identity) bool {
	if r.members.current().HasVoter(from) {
		r.votes[from] = true
	}
	return len(r.votes) >= r.members.current().Majority()
}

func (r *Replica) countVote(now time.Time, from identity.Identity) {
	if r.role == roleCandidate && r.recordVote(from) {
		r.becomeLeader(now)
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

func (r *Replica) onTimeoutNow(now time.Time, m message.Message) {
	if m.Term == r.ballot.Term && r.role == roleFollower && r.members.current().HasVoter(r.Self) && !r.installing() {
		r.campaign(now, true)
	}
}

func (r *Replica) onHeartbeat(m message.Message) {
	if !r.installing() {
		r.commitTo(m.Commit)
	}
	a := message.Message{Kind: message.HeartbeatReply, To: m.From, Round: m.Round}
	if r.durableBallot != r.ballot {
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

// fail records a broken invariant; the host stops when Check reports it.
func (r *Replica) fail(err error) {
	if r.invariantErr == nil {
		r.invariantErr = err
	}
}

// Check returns an error if an invariant of the replica is broken.
func (r *Replica) Check() error {
	switch {
	case r.invariantErr != nil:
		return r.invariantErr
	case r.commitIndex > r.log.last():
		return errors.Newf("the commit index %d exceeds the last log index %d", r.commitIndex, r.log.last())
	case r.commitIndex < r.log.base:
		return errors.Newf("the commit index %d is below the log's base %d", r.commitIndex, r.log.base)
	case r.durableIndex > r.log.last():
		return errors.Newf("the durable index %d exceeds the last log index %d", r.durableIndex, r.log.last())
	case r.durableBallot.Term > r.ballot.Term:
		return errors.Newf("the durable term %d exceeds the current term %d", r.durableBallot.Term, r.ballot.Term)
	case r.log.lastTerm() > r.ballot.Term:
		return errors.Newf("the last log term %d exceeds the current term %d", r.log.lastTerm(), r.ballot.Term)
	}
	return nil
}
