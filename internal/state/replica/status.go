package replica

import (
	"time"

	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/memberset"
)

// Leader returns the leader of the term as last heard, or no one.
func (r *Replica) Leader() identity.Identity {
	return r.leader
}

// Leading reports whether this replica leads and its log holds all that was committed before.
func (r *Replica) Leading() bool {
	return r.role == roleLeader && r.commit >= r.termStart
}

// Term returns the current term.
func (r *Replica) Term() uint64 {
	return r.ballot.Term
}

// CommitIndex returns the highest place known to be committed.
func (r *Replica) CommitIndex() uint64 {
	return r.commit
}

// LastIndex returns the last place of the log.
func (r *Replica) LastIndex() uint64 {
	return r.log.last()
}

// TermStart returns the place of the first entry of this leader's term.
func (r *Replica) TermStart() uint64 {
	return r.termStart
}

// LeaderSince returns when this replica became leader.
func (r *Replica) LeaderSince() time.Time {
	return r.leaderSince
}

// Members returns the membership in force.
func (r *Replica) Members() memberset.Set {
	return r.members.current()
}

// MembersAt returns the membership that was in force at a place after the last snapshot.
func (r *Replica) MembersAt(index uint64) memberset.Set {
	return r.members.at(index)
}

// TermAt returns the term of the entry at a place that the log still holds.
func (r *Replica) TermAt(index uint64) (term uint64, ok bool) {
	return r.log.term(index)
}

// MembersCommitted reports whether no membership change is under way.
func (r *Replica) MembersCommitted() bool {
	return r.members.index() <= r.commit
}

// MatchIndex returns the place up to which the leader knows that i stores its log.
func (r *Replica) MatchIndex(i identity.Identity) uint64 {
	if i == r.Self {
		return r.durableIndex
	}
	if p := r.peers[i]; p != nil {
		return p.match
	}
	return 0
}

// LastContact returns the sending time of the last heartbeat that i answered, or zero.
func (r *Replica) LastContact(i identity.Identity) time.Time {
	if p := r.peers[i]; p != nil {
		return p.lastContact
	}
	return time.Time{}
}

// LeaseEnd returns when the leader's lease ends, or zero if it holds none.
func (r *Replica) LeaseEnd() time.Time {
	if r.role != roleLeader || r.leaseReleased || r.confirmedRound() == 0 {
		return time.Time{}
	}
	return r.confirmedAt().Add(LeaseSpan - DriftMargin)
}
