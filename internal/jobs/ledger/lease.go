package ledger

import (
	"maps"
	"math"
	"slices"

	"siskinrun/internal/jobs/entry"
	"siskinrun/pkg/verdict"
)

// maxTakeItems is the maximum number of items of one target that one command leases.
const maxTakeItems = 4096

// session is the lease of a holder; one renewal extends all its item leases.
type session struct {
	holder           string
	sequence         uint64
	deadline         int64
	leaseNanoseconds int64
	// lastFences are the fencing tokens of the last answer, which a resent request gets again.
	lastFences   []uint64
	fences       map[uint64]struct{}
	leasesPerJob map[string]int
}

// lease is the lease of a session on one item.
type lease struct {
	job     *job
	index   uint32
	fence   uint64
	session *session
	// intended says that the holder may have sent the item.
	intended bool
}

// take leases items to a holder. Only sequence 1 opens a session, so that a delayed request cannot revive an
// expired one.
func (l *Ledger) take(t *entry.Take) *entry.Answer {
	if l.sessions[t.Holder] == nil && t.Sequence != 1 {
		return refused(409, "session-lapsed", "the holder's session has ended")
	}
	s := l.ensureSession(t.Holder)
	l.extend(s, t.LeaseNanoseconds)
	if t.Sequence < s.sequence {
		return refused(409, "stale-question", "the holder has already sent a later request")
	}
	if t.Sequence > s.sequence {
		s.sequence = t.Sequence
		s.lastFences = nil
		l.releaseDeferred()
		for _, w := range t.Wants {
			n := int(min(w.Count, maxTakeItems))
			if w.CompletionNanoseconds > 0 {
				l.leaseByDeadline(s, w, n)
				continue
			}
			l.leaseItems(s, w.Target, n)
		}
	}
	return &entry.Answer{Taken: l.lastTaken(s)}
}

func (l *Ledger) ensureSession(holder string) *session {
	s := l.sessions[holder]
	if s == nil {
		s = &session{holder: holder, fences: map[uint64]struct{}{}, leasesPerJob: map[string]int{}}
		l.sessions[holder] = s
	}
	return s
}

func (l *Ledger) extend(s *session, leaseNanoseconds int64) {
	s.leaseNanoseconds = leaseNanoseconds
	s.deadline = max(s.deadline, l.now+leaseNanoseconds)
	l.earliestDeadline = min(l.earliestDeadline, s.deadline)
}

// leaseItems leases up to count items of a target, in round-robin order over the teams.
func (l *Ledger) leaseItems(s *session, target string, count int) {
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
		for n := min(count, itemsPerTurn); n > 0 && w.ready(); n-- {
			l.leaseItem(s, w, w.nextItem())
			count--
		}
		q.rotate()
	}
}

func (l *Ledger) leaseItem(s *session, w *job, i uint32) {
	l.lastFence++
	e := &lease{job: w, index: i, fence: l.lastFence, session: s}
	l.addLease(e)
	w.items[i].state = itemLeased
	w.info.Leased++
	s.lastFences = append(s.lastFences, e.fence)
}

func (l *Ledger) addLease(e *lease) {
	l.leases[e.fence] = e
	e.session.fences[e.fence] = struct{}{}
	e.session.leasesPerJob[e.job.info.Id]++
}

// removeLease ends a lease; the caller decides what happens to its item.
func (l *Ledger) removeLease(e *lease) {
	s := e.session
	id := e.job.info.Id
	delete(l.leases, e.fence)
	delete(s.fences, e.fence)
	s.leasesPerJob[id]--
	if s.leasesPerJob[id] == 0 {
		delete(s.leasesPerJob, id)
	}
	e.job.info.Leased--
	e.job.items[e.index].state = itemWaiting
}

// lastTaken returns the leases of a session's last answer that have not ended.
func (l *Ledger) lastTaken(s *session) *entry.Taken {
	t := &entry.Taken{}
	for _, f := range s.lastFences {
		e := l.leases[f]
		if e == nil {
			continue
		}
		t.Leases = append(t.Leases, leaseView(e))
	}
	return t
}

func leaseView(e *lease) *entry.Lease {
	j := e.job.info
	return &entry.Lease{
		Job:        j.Id,
		Index:      e.index,
		Fence:      e.fence,
		Team:       j.Team,
		Endpoint:   j.Endpoint,
		Target:     j.Target,
		Repeatable: j.Repeatable,
		Attempt:    uint32(e.job.items[e.index].attempts),
	}
}

func (l *Ledger) renew(r *entry.Renew) *entry.Answer {
	n := &entry.Renewed{}
	s := l.sessions[r.Holder]
	if s == nil {
		n.Lapsed = true
		return &entry.Answer{Renewed: n}
	}
	l.extend(s, r.LeaseNanoseconds)
	for id := range s.leasesPerJob {
		if l.jobs[id].info.State != jobRunning {
			n.Cancelled = append(n.Cancelled, id)
		}
	}
	slices.Sort(n.Cancelled)
	return &entry.Answer{Renewed: n}
}

// intend records the intent to send items; a holder may send only the granted ones.
func (l *Ledger) intend(i *entry.Intend) *entry.Answer {
	a := &entry.Answer{}
	for _, f := range i.Fences {
		e := l.leases[f]
		if e == nil || e.session.holder != i.Holder || e.job.info.State != jobRunning {
			a.Dropped = append(a.Dropped, f)
			continue
		}
		e.intended = true
		a.Granted = append(a.Granted, f)
	}
	return a
}

// rebaseDeadlines restarts all sessions and retry delays on the clock of a new leader.
func (l *Ledger) rebaseDeadlines() {
	for i := range l.deferred {
		l.deferred[i].at = min(l.deferred[i].at, l.now+int64(retryDelay))
	}
	l.earliestDeadline = math.MaxInt64
	for _, s := range l.sessions {
		s.deadline = l.now + s.leaseNanoseconds
		l.earliestDeadline = min(l.earliestDeadline, s.deadline)
	}
}

// expireSessions ends the sessions whose deadline has passed.
func (l *Ledger) expireSessions() {
	l.earliestDeadline = math.MaxInt64
	for _, h := range slices.Sorted(maps.Keys(l.sessions)) {
		s := l.sessions[h]
		if l.now <= s.deadline {
			l.earliestDeadline = min(l.earliestDeadline, s.deadline)
			continue
		}
		for _, f := range slices.Sorted(maps.Keys(s.fences)) {
			l.expireLease(l.leases[f])
		}
		delete(l.sessions, h)
	}
}

// expireLease ends a lease whose holder stopped renewing, and requeues its item or records how it ended.
func (l *Ledger) expireLease(e *lease) {
	w := e.job
	o := &w.items[e.index]
	l.removeLease(e)
	if o.expiries < maxExpiries {
		o.expiries++
	}
	if w.info.Repeatable || e.intended {
		o.sent = 1
	}
	switch {
	case e.intended && !w.info.Repeatable:
		l.recordResult(w, e.index, itemMayHaveRun, holderLost("the host that ran the item was lost"))
	case w.info.State != jobRunning && w.info.Repeatable:
		l.recordResult(w, e.index, itemCancelled, jobEnded(verdict.MayHaveRun))
	case w.info.State != jobRunning:
		l.recordResult(w, e.index, itemCancelled, jobEnded(verdict.NotRun))
	case o.expiries >= maxExpiries && w.inline == nil:
		l.recordResult(w, e.index, itemFailed, holderLost("every host that ran the item was lost"))
	default:
		l.requeue(w, e.index)
	}
}

func holderLost(message string) *entry.Result {
	return &entry.Result{Code: "holder-lost", Message: message, Verdict: uint32(verdict.MayHaveRun)}
}

func jobEnded(v verdict.Verdict) *entry.Result {
	return &entry.Result{Code: "cancelled", Message: "the job was ended", Verdict: uint32(v)}
}
