package ledger

import (
	"maps"
	"math"
	"slices"

	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/verdict"
)

// maxTake is the most items of one target that one command leases.
const maxTake = 4096

// session is the lease that a holder renews for all its items at once.
type session struct {
	holder   string
	sequence uint64
	deadline int64
	length   int64
	// last are the fencing numbers of the last answer.
	last   []uint64
	fences map[uint64]struct{}
	jobs   map[string]int
}

// lease is the hold of a session on an item.
type lease struct {
	work     *work
	index    uint32
	fence    uint64
	session  *session
	intended bool
}

// take leases items; only the first ask of a session opens it, so that no late ask revives one.
func (l *Ledger) take(t *entry.Take) *entry.Answer {
	if l.sessions[t.Holder] == nil && t.Sequence != 1 {
		return refused(409, "session-lapsed", "the holder's session has ended")
	}
	s := l.session(t.Holder)
	l.prolong(s, t.LeaseNanoseconds)
	if t.Sequence < s.sequence {
		return refused(409, "stale-question", "the holder has asked again since")
	}
	if t.Sequence > s.sequence {
		s.sequence = t.Sequence
		s.last = nil
		l.release()
		for _, w := range t.Wants {
			l.pick(s, w.Target, int(min(w.Count, maxTake)))
		}
	}
	return &entry.Answer{Taken: l.taken(s)}
}

func (l *Ledger) session(holder string) *session {
	s := l.sessions[holder]
	if s == nil {
		s = &session{holder: holder, fences: map[uint64]struct{}{}, jobs: map[string]int{}}
		l.sessions[holder] = s
	}
	return s
}

func (l *Ledger) prolong(s *session, length int64) {
	s.length = length
	s.deadline = max(s.deadline, l.now+length)
	l.soonest = min(l.soonest, s.deadline)
}

// pick leases up to count items of a target, teams taking turns.
func (l *Ledger) pick(s *session, target string, count int) {
	q := l.queues[target]
	if q == nil {
		return
	}
	for count > 0 {
		w := q.head()
		if w == nil {
			delete(l.queues, target)
			return
		}
		for n := min(count, turn); n > 0 && w.ready(); n-- {
			l.lend(s, w, w.pop())
			count--
		}
		q.rotate()
	}
}

func (l *Ledger) lend(s *session, w *work, i uint32) {
	l.fence++
	e := &lease{work: w, index: i, fence: l.fence, session: s}
	l.hold(e)
	w.slots[i].state = leased
	w.facts.Leased++
	s.last = append(s.last, e.fence)
}

func (l *Ledger) hold(e *lease) {
	l.leases[e.fence] = e
	e.session.fences[e.fence] = struct{}{}
	e.session.jobs[e.work.facts.Id]++
}

// drop ends a lease without saying what becomes of its item.
func (l *Ledger) drop(e *lease) {
	s := e.session
	id := e.work.facts.Id
	delete(l.leases, e.fence)
	delete(s.fences, e.fence)
	s.jobs[id]--
	if s.jobs[id] == 0 {
		delete(s.jobs, id)
	}
	e.work.facts.Leased--
	e.work.slots[e.index].state = waiting
}

func (l *Ledger) taken(s *session) *entry.Taken {
	t := &entry.Taken{}
	for _, f := range s.last {
		e := l.leases[f]
		if e == nil {
			continue
		}
		t.Leases = append(t.Leases, describe(e))
	}
	return t
}

func describe(e *lease) *entry.Lease {
	j := e.work.facts
	return &entry.Lease{
		Job:        j.Id,
		Index:      e.index,
		Fence:      e.fence,
		Team:       j.Team,
		Endpoint:   j.Endpoint,
		Target:     j.Target,
		Repeatable: j.Repeatable,
		Attempt:    uint32(e.work.slots[e.index].attempts),
	}
}

func (l *Ledger) renew(r *entry.Renew) *entry.Answer {
	n := &entry.Renewed{}
	s := l.sessions[r.Holder]
	if s == nil {
		n.Lapsed = true
		return &entry.Answer{Renewed: n}
	}
	l.prolong(s, r.LeaseNanoseconds)
	for id := range s.jobs {
		if l.jobs[id].facts.State != jobRunning {
			n.Cancelled = append(n.Cancelled, id)
		}
	}
	slices.Sort(n.Cancelled)
	return &entry.Answer{Renewed: n}
}

// intend records which items are about to be sent; only these may be.
func (l *Ledger) intend(i *entry.Intend) *entry.Answer {
	a := &entry.Answer{}
	for _, f := range i.Fences {
		e := l.leases[f]
		if e == nil || e.session.holder != i.Holder || e.work.facts.State != jobRunning {
			a.Dropped = append(a.Dropped, f)
			continue
		}
		e.intended = true
		a.Granted = append(a.Granted, f)
	}
	return a
}

// rebase restarts all leases and pauses on the clock of a new leader.
func (l *Ledger) rebase() {
	for i := range l.deferred {
		l.deferred[i].at = min(l.deferred[i].at, l.now+int64(retryPause))
	}
	l.soonest = math.MaxInt64
	for _, s := range l.sessions {
		s.deadline = l.now + s.length
		l.soonest = min(l.soonest, s.deadline)
	}
}

// expire ends the sessions whose deadline has passed.
func (l *Ledger) expire() {
	l.soonest = math.MaxInt64
	for _, h := range slices.Sorted(maps.Keys(l.sessions)) {
		s := l.sessions[h]
		if l.now <= s.deadline {
			l.soonest = min(l.soonest, s.deadline)
			continue
		}
		for _, f := range slices.Sorted(maps.Keys(s.fences)) {
			l.lapse(l.leases[f])
		}
		delete(l.sessions, h)
	}
}

// lapse decides on an item whose holder has fallen silent.
func (l *Ledger) lapse(e *lease) {
	w := e.work
	o := &w.slots[e.index]
	l.drop(e)
	if o.lapses < maxLapses {
		o.lapses++
	}
	if w.facts.Repeatable || e.intended {
		o.sent = 1
	}
	switch {
	case e.intended && !w.facts.Repeatable:
		l.record(w, e.index, mayHaveRun, lost("the host that ran the item was lost"))
	case w.facts.State != jobRunning && w.facts.Repeatable:
		l.record(w, e.index, cancelled, stopped(verdict.MayHaveRun))
	case w.facts.State != jobRunning:
		l.record(w, e.index, cancelled, stopped(verdict.NotRun))
	case o.lapses >= maxLapses && w.inline == nil:
		l.record(w, e.index, failed, lost("every host that ran the item was lost"))
	default:
		l.giveBack(w, e.index)
	}
}

func lost(message string) *entry.Result {
	return &entry.Result{Code: "holder-lost", Message: message, Verdict: uint32(verdict.MayHaveRun)}
}

func stopped(v verdict.Verdict) *entry.Result {
	return &entry.Result{Code: "cancelled", Message: "the job was ended", Verdict: uint32(v)}
}
