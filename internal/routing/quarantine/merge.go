package quarantine

import (
	"time"

	"siskinrun/internal/data/crashevidence"
)

// Learn records traits that another host knows to be good, and returns those that were suspected here.
func (q *Quarantine) Learn(now time.Time, good []crashevidence.Good) []crashevidence.Good {
	var cleared []crashevidence.Good
	var open []crashevidence.Trait
	for _, g := range good {
		t := g.Trait
		before := q.open(t)
		_, known := q.good.last(t)
		q.good.add(now, now.Add(-g.Age), t)
		if !before {
			continue
		}
		open = append(open, t)
		if !known || !q.open(t) {
			cleared = append(cleared, g)
		}
	}
	q.clear(now, open)
	return cleared
}

// Merge records what another host told. It returns what this host knows better, which is traits of those losses that are
// good, and whether anything was news.
func (q *Quarantine) Merge(now time.Time, e crashevidence.Evidence) (better []crashevidence.Good, news bool) {
	news = len(q.Learn(now, e.Good)) > 0
	for _, l := range e.Losses {
		if min(l.Idle, l.Age) < hold && len(l.Traits) <= maxTraits && q.add(now, l) {
			news = true
		}
	}
	q.judge()
	return q.KnownGood(now, e.Losses), news
}

// KnownGood returns those traits of losses on which an upstream has begun to answer.
func (q *Quarantine) KnownGood(now time.Time, losses []crashevidence.Loss) []crashevidence.Good {
	var l []crashevidence.Good
	place := map[crashevidence.Trait]int{}
	for _, x := range losses {
		for _, t := range x.Traits {
			age, ok := q.answerAge(now, x, t)
			if !ok {
				continue
			}
			i, seen := place[t]
			if !seen {
				i = len(l)
				place[t] = i
				l = append(l, crashevidence.Good{Trait: t, Age: age})
			}
			l[i].Age = min(l[i].Age, age)
		}
	}
	return l
}

// answerAge returns the age of the last answer on a trait of a loss that another host tells. An answer that came after the
// loss here is told as one that did, whatever the other host takes for the time of the loss.
func (q *Quarantine) answerAge(now time.Time, l crashevidence.Loss, t crashevidence.Trait) (time.Duration, bool) {
	at, ok := q.good.last(t)
	age := max(now.Sub(at), 0)
	if ok && q.explained(l.ID, t) {
		age = min(age, l.Age)
	}
	return age, ok
}
