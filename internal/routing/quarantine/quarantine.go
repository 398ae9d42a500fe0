package quarantine

import (
	"cmp"
	"slices"
	"time"

	"siskinrun/internal/data/crashevidence"
)

// Quarantine weighs which trait of calls makes upstreams crash: a part of their prompts, or the whole request. A trait is
// to blame if several upstreams ended under it and none has begun to answer on it since. It is not safe for concurrent use.
type Quarantine struct {
	losses map[uint64]*loss
	// byTrait holds the losses with each trait, traits the number of traits of all losses.
	byTrait map[crashevidence.Trait][]*loss
	traits  int
	good    goodTraits
	// settled holds the IDs of losses that answers have explained: what others tell of their times may be later.
	settled goodHashes
	expired time.Time
	// blocked maps each quarantined trait to its companions: the other traits, not known to be good, that all calls lost
	// with it had. Until a call without them is lost, any of them may be the cause.
	blocked map[crashevidence.Trait][]crashevidence.Trait
}

// NewQuarantine returns a Quarantine without evidence.
func NewQuarantine() *Quarantine {
	return &Quarantine{
		losses:  map[uint64]*loss{},
		byTrait: map[crashevidence.Trait][]*loss{},
		blocked: map[crashevidence.Trait][]crashevidence.Trait{},
	}
}

// Blocks reports whether a call with these traits must not reach an upstream now, and keeps its trait in quarantine.
func (q *Quarantine) Blocks(now time.Time, traits []crashevidence.Trait) bool {
	for _, t := range traits {
		if !q.holds(traits, t) || !now.Before(q.due(t)) {
			continue
		}
		q.use(now, t)
		return true
	}
	return false
}

// holds reports whether a trait of a call is quarantined, together with the others if it was lost only with them.
func (q *Quarantine) holds(traits []crashevidence.Trait, t crashevidence.Trait) bool {
	c, ok := q.blocked[t]
	return ok && !slices.ContainsFunc(c, func(o crashevidence.Trait) bool { return !slices.Contains(traits, o) })
}

// Suspect returns the trait of a call, if any, with which only one call at a time may be sent: the one under which most
// upstreams ended, so that all hosts find the same one.
func (q *Quarantine) Suspect(traits []crashevidence.Trait) (crashevidence.Trait, bool) {
	var worst crashevidence.Trait
	most := 0
	for _, t := range traits {
		n := q.suspicion(t)
		if n > most || n > 0 && n == most && compare(t, worst) < 0 {
			worst, most = t, n
		}
	}
	return worst, most > 0
}

// suspicion returns the number of ends for which a trait is suspected, zero if there are too few. Many calls share a part of
// a prompt that was answered a moment before an upstream ended, and the next answer is about to come.
func (q *Quarantine) suspicion(t crashevidence.Trait) int {
	if len(q.byTrait[t]) == 0 {
		return 0
	}
	l := q.unexplained(t)
	n := q.ends(t, l)
	if n < suspectEndsIfFresh && !t.Request && q.fresh(t, l) {
		return 0
	}
	return n
}

// fresh reports whether a trait was answered a moment before the first of these losses.
func (q *Quarantine) fresh(t crashevidence.Trait, losses []*loss) bool {
	at, ok := q.good.last(t)
	return ok && !slices.ContainsFunc(losses, func(x *loss) bool { return x.at.Sub(at) > freshAnswer })
}

// compare orders traits: parts of prompts first, then by number.
func compare(a, b crashevidence.Trait) int {
	switch {
	case a.Request == b.Request:
		return cmp.Compare(a.Hash, b.Hash)
	case b.Request:
		return -1
	default:
		return 1
	}
}

// Ends returns the number of upstreams that count against a trait.
func (q *Quarantine) Ends(t crashevidence.Trait) int {
	return q.ends(t, q.unexplained(t))
}

// Quarantined returns the quarantined traits, parts of prompts first.
func (q *Quarantine) Quarantined() []crashevidence.Trait {
	var l []crashevidence.Trait
	for t := range q.blocked {
		l = append(l, t)
	}
	slices.SortFunc(l, compare)
	return l
}

// Companions returns the traits that block only together with a quarantined one.
func (q *Quarantine) Companions(t crashevidence.Trait) []crashevidence.Trait {
	return slices.Clone(q.blocked[t])
}

// Size returns the number of losses that are not explained.
func (q *Quarantine) Size() int {
	return len(q.losses)
}

// Began records that an upstream began to answer a call with these traits. It returns the traits that were suspected.
func (q *Quarantine) Began(now time.Time, traits []crashevidence.Trait) []crashevidence.Trait {
	var cleared []crashevidence.Trait
	for _, t := range traits {
		if q.open(t) {
			cleared = append(cleared, t)
		}
		q.good.add(now, now, t)
	}
	q.clear(now, cleared)
	return cleared
}

// clear takes traits out of the losses that answers on them explain.
func (q *Quarantine) clear(now time.Time, traits []crashevidence.Trait) {
	for _, t := range traits {
		for _, x := range slices.Clone(q.byTrait[t]) {
			if !q.answeredSince(x, t) {
				continue
			}
			q.strip(x, t)
			if len(x.Traits) == 0 {
				q.settled.add(now, now, x.ID)
			}
		}
	}
	if len(traits) > 0 {
		q.judge()
	}
}

// open reports whether a trait is in a loss that no later answer on it has explained.
func (q *Quarantine) open(t crashevidence.Trait) bool {
	return slices.ContainsFunc(q.byTrait[t], func(x *loss) bool { return !q.answeredSince(x, t) })
}

// Lost records a call that was sent at a time and whose upstream was lost before it began to answer, and returns what other
// hosts should know of it.
func (q *Quarantine) Lost(now, sent time.Time, upstream uint64, traits []crashevidence.Trait, answering bool) (crashevidence.Loss, bool) {
	l := crashevidence.Loss{Upstream: upstream, Answering: answering, SentBefore: max(now.Sub(sent), 1)}
	l.Traits = slices.Clone(traits[:min(len(traits), maxTraits)])
	if len(l.Traits) == 0 {
		return l, false
	}
	l.ID = identify(upstream, sent, l.Traits)
	l.After = q.lastBefore(sent, l.Traits)
	q.add(now, l)
	q.judge()
	return l, true
}

// lastBefore returns the ID of the last loss with any of these traits before a time, zero if there is none.
func (q *Quarantine) lastBefore(at time.Time, traits []crashevidence.Trait) uint64 {
	var last *loss
	for _, t := range traits {
		for _, x := range q.byTrait[t] {
			if x.at.Before(at) && (last == nil || byAge(last, x) < 0) {
				last = x
			}
		}
	}
	if last == nil {
		return 0
	}
	return last.ID
}

// explained reports whether an answer has explained a trait of a loss here.
func (q *Quarantine) explained(id uint64, t crashevidence.Trait) bool {
	if x := q.losses[id]; x != nil {
		return !slices.Contains(x.Traits, t)
	}
	_, ok := q.settled.last(id)
	return ok
}

// use keeps a quarantined trait that is still asked for.
func (q *Quarantine) use(now time.Time, t crashevidence.Trait) {
	for _, x := range q.byTrait[t] {
		x.used = now
	}
}

// Holds reports whether a call with these traits is in quarantine, even if its trait may be tried again.
func (q *Quarantine) Holds(traits []crashevidence.Trait) bool {
	return slices.ContainsFunc(traits, func(t crashevidence.Trait) bool { return q.holds(traits, t) })
}

// Answered returns when an upstream last began to answer on a trait.
func (q *Quarantine) Answered(t crashevidence.Trait) (time.Time, bool) {
	return q.good.last(t)
}
