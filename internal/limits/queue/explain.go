package queue

import (
	"slices"
	"time"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/queuestate"
	"siskinrun/internal/limits/slotrequest"
	"siskinrun/pkg/refusal"
)

// Explain returns what Acquire would do with a request now. It decides on a copy, so that nothing changes.
func (q *Queue) Explain(r slotrequest.Request) queuestate.State {
	return q.explain(q.Timer.Now(), r)
}

func (q *Queue) explain(now time.Time, r slotrequest.Request) queuestate.State {
	q.once.Do(q.init)
	q.mu.Lock()
	defer q.mu.Unlock()
	k := q.copyForDecision()
	s := queuestate.State{Slots: q.slots.total, Usable: q.slots.usable, Busy: q.busy, Elsewhere: q.slots.taken, Waiting: q.waiting()}
	if q.closed != nil {
		s.Outcome, s.RetryAfter = q.closed.Code, duration.Duration(q.closed.RetryAfter)
		return s
	}
	free, err := k.judge(now, r)
	switch {
	case err != nil:
		f := refusal.Of(err)
		s.Outcome, s.RetryAfter = f.Code, duration.Duration(f.RetryAfter)
	case free:
		s.Outcome = queuestate.Starts
	default:
		c := k.class(r.Rank)
		s.Outcome = queuestate.Waits
		s.Wait = duration.Duration(k.estimateWait(c, c.waiting.Ahead(r.Team, r.Weight, r.Cost, r.Latest), unchanged))
	}
	return s
}

// copyForDecision returns a copy on which judge may be called. It shares the waiting requests, which judge only reads.
func (q *Queue) copyForDecision() *Queue {
	k := &Queue{
		MaxPerTeam: q.MaxPerTeam, MaxWaiting: q.MaxWaiting,
		slots: q.slots, busy: q.busy, waitingSince: q.waitingSince, serviceTime: q.serviceTime,
		classes: slices.Clone(q.classes),
	}
	for i, c := range k.classes {
		o := *c
		k.classes[i] = &o
	}
	return k
}
