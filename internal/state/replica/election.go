package replica

import (
	"time"

	"siskinrun/internal/state/ballot"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/message"
)

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
	ok := m.Term > r.ballot.Term && r.upToDate(m) && !r.inLeaderLease(now) && r.ballotDurable()
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
	if r.recordVote(r.preVotes, m.From) {
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
	r.preVotes = map[identity.Identity]bool{}
	for _, i := range r.members.current().Voters {
		if i != r.Self {
			r.send(message.Message{Kind: message.PreVote, To: i, Term: r.ballot.Term + 1, Index: r.log.last(), LogTerm: r.log.lastTerm()})
		}
	}
	if r.recordVote(r.preVotes, r.Self) {
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

// recordVote adds a voter to votes and reports whether a majority has granted theirs.
func (r *Replica) recordVote(votes map[identity.Identity]bool, from identity.Identity) bool {
	if r.members.current().HasVoter(from) {
		votes[from] = true
	}
	return len(votes) >= r.members.current().Majority()
}

// countVote counts a vote of the current term while this member asks for votes, also while it already asks for the next term.
func (r *Replica) countVote(now time.Time, from identity.Identity) {
	if r.votes != nil && r.recordVote(r.votes, from) {
		r.becomeLeader(now)
	}
}

// ballotDurable reports whether the term and vote of this member are durable, so that it may answer for them.
func (r *Replica) ballotDurable() bool {
	return r.durableBallot == r.ballot
}

func (r *Replica) onTimeoutNow(now time.Time, m message.Message) {
	if m.Term == r.ballot.Term && r.role == roleFollower && r.members.current().HasVoter(r.Self) && !r.installing() {
		r.campaign(now, true)
	}
}
