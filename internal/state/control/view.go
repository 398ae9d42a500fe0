package control

import (
	"time"

	"siskinrun/internal/base/leadership"
	"siskinrun/internal/state/groupstatus"
	"siskinrun/internal/state/identity"
	"siskinrun/internal/state/replica"
)

// view is the state of a replica as published to other goroutines.
type view struct {
	lead   leadership.Status
	leader identity.Identity
	status groupstatus.Status
}

// publishLeadership publishes the replica's state and notifies subscribers of leadership changes.
func (d *driver) publishLeadership(now time.Time) {
	r := d.replica
	l := leadership.Status{Term: r.Term(), Since: r.LeaderSince(), Until: r.LeaseEnd(), Leader: r.Leader().Host}
	l.Leading = r.Leading() && now.Before(l.Until) && d.appliedIndex() >= r.TermStart()
	old := d.view.Load().lead
	d.publish(l)
	if d.wasLeader && !r.Leading() {
		d.failWaiters()
	}
	d.wasLeader = r.Leading()
	if old.Leading == l.Leading && old.Leader == l.Leader && old.Term == l.Term {
		return
	}
	d.control.Log.Info().Uint32("group", d.group).Uint64("term", l.Term).Str("leader", l.Leader).Bool("leading", l.Leading).Msg("leadership")
	d.control.count("control.leadership-changes", 1)
	d.control.mu.Lock()
	all := d.control.subscribers
	d.control.mu.Unlock()
	for _, f := range all {
		f(d.group, l)
	}
}

func (d *driver) publish(l leadership.Status) {
	r := d.replica
	v := &view{lead: l, leader: r.Leader()}
	v.status = groupstatus.Status{
		Group:  d.group,
		Self:   r.Self,
		Leader: r.Leader(),
		Term:   r.Term(),
		Last:   r.LastIndex(),
		Commit: r.CommitIndex(),
	}
	d.view.Store(v)
}

func (d *driver) appliedIndex() uint64 {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.applied
}

// lead returns the leadership that is certain at now.
func (d *driver) lead(now time.Time) leadership.Status {
	l := d.view.Load().lead
	l.Leading = l.Leading && now.Before(l.Until)
	return l
}

// status asks the replica for the status of its group.
func (d *driver) status(now time.Time) groupstatus.Status {
	done := make(chan groupstatus.Status, 1)
	if !d.inbox.TryPush(func(n time.Time) { done <- d.collectStatus(n) }) {
		return d.view.Load().status
	}
	select {
	case s := <-done:
		return s
	case <-d.stopped:
		return d.view.Load().status
	}
}

func (d *driver) collectStatus(now time.Time) groupstatus.Status {
	r := d.replica
	s := d.view.Load().status
	s.Last = r.LastIndex()
	s.Commit = r.CommitIndex()
	s.Applied = d.appliedIndex()
	s.Syncs = d.storage.Syncs()
	s.Leading = r.Leading()
	s.Repaired = s.Leading && r.MembersCommitted() && len(r.Members().Learners) == 0
	for _, i := range r.Members().All() {
		m := d.memberStatus(now, i)
		s.Members = append(s.Members, m)
		if m.Lag > caughtUpLag || m.Silence > replica.ElectionTimeout {
			s.Repaired = false
		}
	}
	if len(r.Members().Voters) < len(d.control.formation.Members) {
		s.Repaired = false
	}
	return s
}

// caughtUpLag is the number of entries that a member may lack and still counts as caught up.
const caughtUpLag = 64

func (d *driver) memberStatus(now time.Time, i identity.Identity) groupstatus.Member {
	r := d.replica
	m := groupstatus.Member{Identity: i, Voter: r.Members().HasVoter(i)}
	if !r.Leading() {
		return m
	}
	if l := r.MatchIndex(i); l < r.LastIndex() {
		m.Lag = r.LastIndex() - l
	}
	if i != r.Self {
		m.Silence = now.Sub(r.LastContact(i))
	}
	return m
}
