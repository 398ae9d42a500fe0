package trials

import (
	"time"

	"siskinrun/internal/data/crashevidence"
)

const (
	// bound is the time after which a trial counts as over, if nobody says so.
	bound = 3 * time.Second
	// maxTrials is the maximum number of trials under way.
	maxTrials = 4096
)

// Trials grants one trial at a time for each trait. It is not safe for concurrent use.
type Trials struct {
	held map[crashevidence.Trait]trial
}

type trial struct {
	holder string
	number uint64
	until  time.Time
}

// NewTrials returns Trials of which none is under way.
func NewTrials() *Trials {
	return &Trials{held: map[crashevidence.Trait]trial{}}
}

// Take begins a trial of a host, unless one of another host is under way. A host asks again only when its own one is over.
func (r *Trials) Take(now time.Time, t crashevidence.Trait, holder string, number uint64) bool {
	x, ok := r.held[t]
	if ok && x.holder != holder && now.Before(x.until) {
		return false
	}
	if !ok && len(r.held) >= maxTrials {
		r.expire(now)
	}
	if len(r.held) >= maxTrials {
		return false
	}
	r.held[t] = trial{holder: holder, number: number, until: now.Add(bound)}
	return true
}

// End ends a trial.
func (r *Trials) End(t crashevidence.Trait, holder string, number uint64) {
	if x := r.held[t]; x.holder == holder && x.number == number {
		delete(r.held, t)
	}
}

func (r *Trials) expire(now time.Time) {
	for t, x := range r.held {
		if !now.Before(x.until) {
			delete(r.held, t)
		}
	}
}
