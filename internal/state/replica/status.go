package replica

import (
	"time"

	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/quorum"
)

// Leader returns the leader of the term as last heard, or no one.
func (r *Replica) Leader() identity.Identity {
	return r.leader
}

// Leading reports whether this replica leads and its log holds all that was committed before.
func (r *Replica) Leading() bool {
	return r.role == leading && r.commit >= r.began
}

// Term returns the current term.
func (r *Replica) Term() uint64 {
	return r.ballot.Term
}

// Commit returns the highest place known to be committed.
func (r *Replica) Commit() uint64 {
	return r.commit
}

// Last returns the last place of the log.
func (r *Replica) Last() uint64 {
	return r.log.last()
}

// Began returns the place of the first entry of this leader's term.
func (r *Replica) Began() uint64 {
	return r.began
}

// Since returns when this replica became leader.
func (r *Replica) Since() time.Time {
	return r.since
}

// Quorum returns the membership in force.
func (r *Replica) Quorum() quorum.Quorum {
	return r.quorum.now()
}

// QuorumAt returns the membership that was in force at a place after the last snapshot.
func (r *Replica) QuorumAt(index uint64) quorum.Quorum {
	return r.quorum.at(index)
}

// TermAt returns the term of the entry at a place that the log still holds.
func (r *Replica) TermAt(index uint64) (term uint64, ok bool) {
	return r.log.term(index)
}

// Settled reports whether no membership change is under way.
func (r *Replica) Settled() bool {
	return r.quorum.index() <= r.commit
}

// Match returns the place up to which the leader knows that i stores its log.
func (r *Replica) Match(i identity.Identity) uint64 {
	if i == r.Self {
		return r.written
	}
	if p := r.peers[i]; p != nil {
		return p.match
	}
	return 0
}

// Heard returns the sending time of the last heartbeat that i answered, or zero.
func (r *Replica) Heard(i identity.Identity) time.Time {
	if p := r.peers[i]; p != nil {
		return p.heard
	}
	return time.Time{}
}

// Lease returns when the leader's lease ends, or zero if it holds none.
func (r *Replica) Lease() time.Time {
	if r.role != leading || r.lapsed || r.confirmed() == 0 {
		return time.Time{}
	}
	return r.confirmedAt().Add(LeaseSpan - DriftMargin)
}
