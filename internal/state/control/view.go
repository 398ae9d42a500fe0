package control

import (
	"time"

	"siskinrun/internal/base/lead"
	"siskinrun/internal/state/groupstatus"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/replica"
)

// view is what other goroutines may know of a replica.
type view struct {
	lead     lead.Lead
	leader   identity.Identity
	standing groupstatus.Status
}

// observe publishes the replica's state and tells subscribers of changes in leadership.
func (u *unit) observe(now time.Time) {
	r := u.replica
	l := lead.Lead{Term: r.Term(), Since: r.Since(), Until: r.Lease(), Leader: r.Leader().Host}
	l.Leading = r.Leading() && now.Before(l.Until) && u.reached() >= r.Began()
	old := u.view.Load().lead
	u.publish(l)
	if u.led && !r.Leading() {
		u.abandon()
	}
	u.led = r.Leading()
	if old.Leading == l.Leading && old.Leader == l.Leader && old.Term == l.Term {
		return
	}
	u.control.Log.Info().Uint32("group", u.group).Uint64("term", l.Term).Str("leader", l.Leader).Bool("leading", l.Leading).Msg("leadership")
	u.control.count("control.leadership-changes", 1)
	u.control.mu.Lock()
	all := u.control.subscribers
	u.control.mu.Unlock()
	for _, f := range all {
		f(u.group, l)
	}
}

func (u *unit) publish(l lead.Lead) {
	r := u.replica
	v := &view{lead: l, leader: r.Leader()}
	v.standing = groupstatus.Status{
		Group:  u.group,
		Self:   r.Self,
		Leader: r.Leader(),
		Term:   r.Term(),
		Last:   r.Last(),
		Commit: r.Commit(),
	}
	u.view.Store(v)
}

func (u *unit) reached() uint64 {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.applied
}

// lead returns the leadership as it is certain at now.
func (u *unit) lead(now time.Time) lead.Lead {
	l := u.view.Load().lead
	l.Leading = l.Leading && now.Before(l.Until)
	return l
}

// standing asks the replica how its group stands.
func (u *unit) standing(now time.Time) groupstatus.Status {
	done := make(chan groupstatus.Status, 1)
	if !u.inbox.TryPush(func(n time.Time) { done <- u.survey(n) }) {
		return u.view.Load().standing
	}
	select {
	case s := <-done:
		return s
	case <-u.ended:
		return u.view.Load().standing
	}
}

func (u *unit) survey(now time.Time) groupstatus.Status {
	r := u.replica
	s := u.view.Load().standing
	s.Last = r.Last()
	s.Commit = r.Commit()
	s.Applied = u.reached()
	s.Syncs = u.storage.Syncs()
	s.Leading = r.Leading()
	s.Repaired = s.Leading && r.Settled() && len(r.Quorum().Learners) == 0
	for _, i := range r.Quorum().Members() {
		m := u.member(now, i)
		s.Members = append(s.Members, m)
		if m.Lag > caughtUpLag || m.Silence > replica.ElectionTimeout {
			s.Repaired = false
		}
	}
	if len(r.Quorum().Voters) < len(u.control.formation.Members) {
		s.Repaired = false
	}
	return s
}

const caughtUpLag = 64

func (u *unit) member(now time.Time, i identity.Identity) groupstatus.Member {
	r := u.replica
	m := groupstatus.Member{Identity: i, Voter: r.Quorum().HasVoter(i)}
	if !r.Leading() {
		return m
	}
	if l := r.Match(i); l < r.Last() {
		m.Lag = r.Last() - l
	}
	if i != r.Self {
		m.Silence = now.Sub(r.Heard(i))
	}
	return m
}
