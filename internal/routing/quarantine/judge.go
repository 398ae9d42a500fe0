package quarantine

import (
	"slices"
	"time"

	"siskinrun/internal/data/crashevidence"
)

const (
	// neededEnds is the number of upstreams that must have ended under a trait on which no answer has ever begun.
	neededEnds = 3
	// neededEndsIfGood is the same number for a trait that was answered before, since its last answer.
	neededEndsIfGood = 4
	// suspectEndsIfFresh is the number of ends from which on calls with a part of a prompt that was answered freshAnswer
	// before are sent one at a time; all others are from the first one on.
	suspectEndsIfFresh = 2
	freshAnswer        = 2 * time.Second
	// retrialFactor is the time to the next trial of a quarantined trait, in times between its last two ends.
	retrialFactor = 10
	minRetrial    = time.Minute
	maxRetrial    = time.Hour
)

// judge decides anew which traits are quarantined: first those on which no answer ever began, then, from the losses that
// these do not explain, traits that were good before.
func (q *Quarantine) judge() {
	q.blocked = map[crashevidence.Trait][]crashevidence.Trait{}
	for t, l := range q.byTrait {
		if len(l) < neededEnds {
			continue
		}
		if _, ok := q.good.last(t); !ok && q.ends(t, l) >= neededEnds {
			q.blocked[t] = q.companions(t, l)
		}
	}
	var turned []crashevidence.Trait
	for t, l := range q.byTrait {
		if len(l) < neededEndsIfGood {
			continue
		}
		if _, ok := q.good.last(t); ok && q.ends(t, q.unexplained(t)) >= neededEndsIfGood {
			turned = append(turned, t)
		}
	}
	for _, t := range turned {
		q.blocked[t] = []crashevidence.Trait{}
	}
}

// companions returns the traits, not known to be good, that all losses with a trait have in common.
func (q *Quarantine) companions(trait crashevidence.Trait, losses []*loss) []crashevidence.Trait {
	c := []crashevidence.Trait{}
	for _, t := range losses[0].Traits {
		_, good := q.good.last(t)
		if t != trait && !good {
			c = append(c, t)
		}
	}
	for _, x := range losses[1:] {
		c = slices.DeleteFunc(c, func(t crashevidence.Trait) bool {
			_, ok := slices.BinarySearchFunc(x.Traits, t, compare)
			return !ok
		})
	}
	return c
}

// unexplained returns the losses with a trait that neither a later answer on it nor a quarantined trait explains.
func (q *Quarantine) unexplained(t crashevidence.Trait) []*loss {
	var l []*loss
	for _, x := range q.byTrait[t] {
		if !q.answeredSince(x, t) && (q.blocked[t] != nil || !q.quarantined(x)) {
			l = append(l, x)
		}
	}
	return l
}

// quarantined reports whether a loss has a quarantined trait.
func (q *Quarantine) quarantined(l *loss) bool {
	return slices.ContainsFunc(l.Traits, func(t crashevidence.Trait) bool { return q.blocked[t] != nil })
}

// answeredSince reports whether an upstream has begun to answer on a trait after a loss.
func (q *Quarantine) answeredSince(l *loss, t crashevidence.Trait) bool {
	at, ok := q.good.last(t)
	return ok && !l.at.After(at)
}

// ends returns how many upstreams count against a trait. Upstreams are also killed in groups: one counts only if it got its
// call after the last end that counts. Where the headers of the answer had come each counts, unless the trait was answered
// before.
func (q *Quarantine) ends(t crashevidence.Trait, losses []*loss) int {
	_, good := q.good.last(t)
	n := 0
	var last time.Time
	for _, x := range byUpstream(losses) {
		if n == 0 || x.Answering && !good || x.sent.After(last) {
			n++
			last = x.at
		}
	}
	return n
}

// byUpstream returns one loss for each upstream, in the order of their ends. Of calls lost with one upstream the first that
// was sent decides.
func byUpstream(losses []*loss) []*loss {
	m := map[uint64]*loss{}
	for _, x := range losses {
		y := m[x.Upstream]
		if y == nil {
			c := *x
			m[x.Upstream] = &c
			continue
		}
		y.Answering = y.Answering || x.Answering
		y.at = earlier(x.at, y.at)
		y.sent = earlier(x.sent, y.sent)
	}
	l := make([]*loss, 0, len(m))
	for _, x := range m {
		l = append(l, x)
	}
	slices.SortFunc(l, byAge)
	return l
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// due returns when a quarantined trait may be tried again.
func (q *Quarantine) due(t crashevidence.Trait) time.Time {
	l := byUpstream(q.byTrait[t])
	n := len(l)
	d := l[n-1].at.Sub(l[n-2].at)
	return l[n-1].at.Add(min(max(retrialFactor*d, minRetrial), maxRetrial))
}
