package replica

import (
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/logentry"
	"siskinrun/internal/state/quorum"
)

// membership holds the quorums that the log names, of which the last is in force.
type membership struct {
	places []place
}

// place is a point of the log and the quorum in force there.
type place struct {
	index  uint64
	term   uint64
	quorum quorum.Quorum
}

func newMembership(base place, entries []logentry.Entry) membership {
	m := membership{places: []place{base}}
	for _, e := range entries {
		m.append(e)
	}
	return m
}

func (m *membership) now() quorum.Quorum {
	return m.places[len(m.places)-1].quorum
}

// index returns the place of the quorum in force.
func (m *membership) index() uint64 {
	return m.places[len(m.places)-1].index
}

func (m *membership) append(e logentry.Entry) {
	if e.Kind != logentry.Change {
		return
	}
	q, err := quorum.NewQuorum(e.Data)
	if err != nil {
		return
	}
	m.places = append(m.places, place{e.Index, e.Term, q})
}

// truncate forgets the quorums named at i and after it.
func (m *membership) truncate(i uint64) {
	for len(m.places) > 1 && m.index() >= i {
		m.places = m.places[:len(m.places)-1]
	}
}

// compact forgets the quorums that later ones up to i replace.
func (m *membership) compact(i uint64) {
	for len(m.places) > 1 && m.places[1].index <= i {
		m.places = m.places[1:]
	}
}

// at returns the quorum that was in force at i.
func (m *membership) at(i uint64) quorum.Quorum {
	q := m.places[0].quorum
	for _, p := range m.places {
		if p.index <= i {
			q = p.quorum
		}
	}
	return q
}

// AddLearner starts to replicate to i without giving it a vote.
func (r *Replica) AddLearner(i identity.Identity) error {
	if r.quorum.now().HasVoter(i) || r.quorum.now().HasLearner(i) {
		return nil
	}
	return r.change(r.quorum.now().WithLearner(i))
}

// Promote gives a learner that has caught up a vote.
func (r *Replica) Promote(i identity.Identity) error {
	if r.quorum.now().HasVoter(i) {
		return nil
	}
	if r.role != leading {
		return ErrNotLeader
	}
	if !r.quorum.now().HasLearner(i) || r.peer(i).match+caughtUpEntries < r.log.last() || r.peer(i).match < r.began {
		return ErrBehind
	}
	return r.change(r.quorum.now().WithVoter(i))
}

// Remove ends the membership of i, which must not be the leader itself.
func (r *Replica) Remove(i identity.Identity) error {
	q := r.quorum.now()
	if !q.HasVoter(i) && !q.HasLearner(i) {
		return nil
	}
	if i == r.Self {
		return ErrNotLeader
	}
	return r.change(q.Without(i))
}

// change appends a quorum once the one before and an entry of this term are committed.
func (r *Replica) change(q quorum.Quorum) error {
	if r.role != leading || !r.transfer.IsZero() {
		return ErrNotLeader
	}
	if r.quorum.index() > r.commit || r.began > r.commit {
		return ErrBusy
	}
	r.add(logentry.Change, q.Encode())
	return nil
}
