package replica

import (
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/memberset"
)

// memberHistory holds the member sets named in the log; the last one is in force.
type memberHistory struct {
	positions []position
}

// position is a log index with its term and the member set in force there.
type position struct {
	index   uint64
	term    uint64
	members memberset.Set
}

func newMemberHistory(base position, entries []logentry.Entry) memberHistory {
	m := memberHistory{positions: []position{base}}
	for _, e := range entries {
		m.append(e)
	}
	return m
}

func (m *memberHistory) current() memberset.Set {
	return m.positions[len(m.positions)-1].members
}

// index returns the log index of the member set in force.
func (m *memberHistory) index() uint64 {
	return m.positions[len(m.positions)-1].index
}

func (m *memberHistory) append(e logentry.Entry) {
	if e.Kind != logentry.MembershipChange {
		return
	}
	q, err := memberset.NewSet(e.Data)
	if err != nil {
		return
	}
	m.positions = append(m.positions, position{e.Index, e.Term, q})
}

// truncate drops the member sets at i and later.
func (m *memberHistory) truncate(i uint64) {
	for len(m.positions) > 1 && m.index() >= i {
		m.positions = m.positions[:len(m.positions)-1]
	}
}

// compact drops the member sets that a later one up to i replaces.
func (m *memberHistory) compact(i uint64) {
	for len(m.positions) > 1 && m.positions[1].index <= i {
		m.positions = m.positions[1:]
	}
}

// at returns the member set in force at i.
func (m *memberHistory) at(i uint64) memberset.Set {
	q := m.positions[0].members
	for _, p := range m.positions {
		if p.index <= i {
			q = p.members
		}
	}
	return q
}

// AddLearner starts replication to i without giving it a vote.
func (r *Replica) AddLearner(i identity.Identity) error {
	if r.members.current().HasVoter(i) || r.members.current().HasLearner(i) {
		return nil
	}
	return r.proposeMembers(r.members.current().WithLearner(i))
}

// Promote makes a learner that has caught up a voter.
func (r *Replica) Promote(i identity.Identity) error {
	if r.members.current().HasVoter(i) {
		return nil
	}
	if r.role != roleLeader {
		return ErrNotLeader
	}
	if !r.members.current().HasLearner(i) || r.peer(i).match+maxPromotionLag < r.log.last() || r.peer(i).match < r.termStart {
		return ErrBehind
	}
	return r.proposeMembers(r.members.current().WithVoter(i))
}

// Remove removes the member i, which must not be the leader itself.
func (r *Replica) Remove(i identity.Identity) error {
	q := r.members.current()
	if !q.HasVoter(i) && !q.HasLearner(i) {
		return nil
	}
	if i == r.Self {
		return ErrNotLeader
	}
	return r.proposeMembers(q.Without(i))
}

// proposeMembers appends a member set once the previous one and an entry of this term are committed.
func (r *Replica) proposeMembers(q memberset.Set) error {
	if r.role != roleLeader || !r.transferTo.IsZero() {
		return ErrNotLeader
	}
	if r.members.index() > r.commitIndex || r.termStart > r.commitIndex {
		return ErrBusy
	}
	r.add(logentry.MembershipChange, q.Encode())
	return nil
}
