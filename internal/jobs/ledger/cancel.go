package ledger

import (
	"maps"
	"slices"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/jobs/entry"
	"siskinrun/internal/jobs/idempotency"
)

// cancel ends a job; items that are leased end with the word of their holder or with its lease.
func (l *Ledger) cancel(c *entry.Cancel) *entry.Answer {
	w := l.jobs[c.Job]
	if w == nil || w.facts.Team != c.Team {
		return refused(404, "no-such-job", "the team has no such job")
	}
	l.stop(w, false)
	return &entry.Answer{Job: w.view()}
}

func (l *Ledger) stop(w *work, expired bool) {
	if w.facts.State != jobRunning {
		return
	}
	w.facts.State = jobCancelling
	l.uncount(w)
	w.facts.Expired = expired
	l.settle(w)
}

// sweep ends what its window has closed and deletes what was kept long enough.
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

func (l *Ledger) sweepJob(w *work) {
	j := w.facts
	if j.State == jobRunning && j.Deadline <= l.now {
		l.stop(w, true)
	}
	if j.Finished > 0 && j.Finished+j.KeepNanoseconds <= l.now {
		l.dropJob(w)
	}
}

func (l *Ledger) sweepFile(f *file) {
	s := f.facts
	old := s.Created+int64(fileKeep) <= l.now
	left := !s.Sealed && s.Created+int64(openKeep) <= l.now
	if old || left {
		s.Hidden = true
	}
	l.dropHidden(f)
}

func (l *Ledger) open(o *entry.Open) *entry.Answer {
	l.fence++
	r, err := l.records.Open(o, l.fence, l.now)
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
