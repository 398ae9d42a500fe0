package replica

import (
	"time"

	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/memberset"
)

// Leader returns the last known leader of the term, or the zero identity.
func (r *Replica) Leader() identity.Identity {
	return r.leader
}

// Leading reports whether this replica leads and has committed an entry of its term, so that it knows every earlier commit.
func (r *Replica) Leading() bool {
	return r.role == roleLeader && r.commitIndex >= r.termStart
}

// Term returns the current term.
func (r *Replica) Term() uint64 {
	return r.ballot.Term
}

// CommitIndex returns the highest index known to be committed.
func (r *Replica) CommitIndex() uint64 {
	return r.commitIndex
}

// LastIndex returns the last index of the log.
func (r *Replica) LastIndex() uint64 {
	return r.log.last()
}

// TermStart returns the index of the first entry of this leader's term.
func (r *Replica) TermStart() uint64 {
	return r.termStart
}

// LeaderSince returns when this replica became leader.
func (r *Replica) LeaderSince() time.Time {
	return r.leaderSince
}

// Members returns the member set in force.
func (r *Replica) Members() memberset.Set {
	return r.members.current()
}

// MembersAt returns the member set in force at an index after the last snapshot.
func (r *Replica) MembersAt(index uint64) memberset.Set {
	return r.members.at(index)
}

// TermAt returns the term of the entry at index, if the log still holds it.
func (r *Replica) TermAt(index uint64) (term uint64, ok bool) {
	return r.log.term(index)
}

// MembersCommitted reports whether the member set in force is committed, so that another change may start.
func (r *Replica) MembersCommitted() bool {
	return r.members.index() <= r.commitIndex
}

// MatchIndex returns the highest index up to which i is known to store the leader's log.
func (r *Replica) MatchIndex(i identity.Identity) uint64 {
	if i == r.Self {
		return r.durableIndex
	}
	if p := r.peers[i]; p != nil {
		return p.match
	}
	return 0
}

// LastContact returns when the last heartbeat that i answered was sent, or zero.
func (r *Replica) LastContact(i identity.Identity) time.Time {
	if p := r.peers[i]; p != nil {
		return p.lastContact
	}
	return time.Time{}
}

// LeaseEnd returns when the leader's lease expires, or zero if it holds none.
func (r *Replica) LeaseEnd() time.Time {
	if r.role != roleLeader || r.leaseReleased || r.confirmedRound() == 0 {
		return time.Time{}
	}
	return r.confirmedAt().Add(LeaseSpan - DriftMargin)
}
