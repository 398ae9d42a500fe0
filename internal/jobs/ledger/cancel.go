package ledger

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/jobs/entry"
	"siskinrun/internal/jobs/idempotency"
)

// cancel ends a job; leased items end when their holder reports an outcome or its session expires.
func (l *Ledger) cancel(c *entry.Cancel) *entry.Answer {
	w := l.jobs[c.Job]
	if w == nil || w.info.Team != c.Team {
		return refused(404, "no-such-job", "the team has no such job")
	}
	l.stopJob(w, false)
	return &entry.Answer{Job: w.view()}
}

func (l *Ledger) stopJob(w *job, expired bool) {
	if w.info.State != jobRunning {
		return
	}
	w.info.State = jobCancelling
	l.uncountTokens(w)
	w.info.Expired = expired
	l.finishIfDone(w)
}

// sweep ends the jobs whose window has closed and deletes the jobs, files and keys whose retention has passed.
func (l *Ledger) sweep() *entry.Answer {
	for _, id := range slices.Sorted(maps.Keys(l.jobs)) {
		l.sweepJob(l.jobs[id])
	}
	for _, id := range slices.Sorted(maps.Keys(l.files)) {
		l.sweepFile(l.files[id])
	}
	for k, e := range l.keys {
		if e.Until <= l.now {
			delete(l.keys, k)
		}
	}
	l.records.Sweep(l.now)
	return &entry.Answer{}
}

func (l *Ledger) sweepJob(w *job) {
	j := w.info
	if j.State == jobRunning && j.Deadline <= l.now {
		l.stopJob(w, true)
	}
	if j.Finished > 0 && j.Finished+j.KeepNanoseconds <= l.now {
		l.deleteJob(w)
	}
}

func (l *Ledger) sweepFile(f *file) {
	s := f.info
	old := s.Created+int64(fileRetention) <= l.now
	abandoned := !s.Sealed && s.Created+int64(unsealedRetention) <= l.now
	if old || abandoned {
		s.Hidden = true
	}
	l.deleteUnused(f)
}

func (l *Ledger) open(o *entry.Open) *entry.Answer {
	l.lastFence++
	r, err := l.records.Open(o, l.lastFence, l.now)
	switch {
	case errors.Is(err, idempotency.ErrOpen):
		return &entry.Answer{Opened: &entry.Opened{State: entry.Opened_OPEN}}
	case errors.Is(err, idempotency.ErrConflict):
		return refused(409, "key-conflict", err.Error())
	case err != nil:
		return refused(429, "too-many-keys", err.Error())
	case r.Closed:
		return &entry.Answer{Opened: &entry.Opened{State: entry.Opened_CLOSED, Answer: r.Answer}}
	}
	return &entry.Answer{Opened: &entry.Opened{State: entry.Opened_NEW, Fence: r.Fence}}
}

func (l *Ledger) close(c *entry.Close) *entry.Answer {
	if !l.records.Close(c) {
		return &entry.Answer{Dropped: []uint64{c.Fence}}
	}
	return &entry.Answer{}
}
