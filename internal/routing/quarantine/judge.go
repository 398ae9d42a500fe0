package quarantine

import (
	"cmp"
	"slices"
	"time"
)

const (
	// neededEnds is the number of upstreams that must have ended under a part on which no answer has ever begun.
	neededEnds = 3
	// neededEndsIfGood is the same number for a part that was answered before, since its last answer.
	neededEndsIfGood = 5
	// groupWindow is the time within which upstreams that end before their answers' headers count as one: many upstreams
	// are killed at the same moment for other reasons.
	groupWindow = time.Second
)

// judge decides anew which parts are quarantined: first those on which no answer ever began, then, from the losses that
// these do not explain, parts that were good before.
func (q *Quarantine) judge() {
	q.blocked = map[uint64][]uint64{}
	if len(q.losses) == 0 {
		return
	}
	byPart := map[uint64][]*loss{}
	for _, x := range q.losses {
		for _, p := range x.Parts {
			byPart[p] = append(byPart[p], x)
		}
	}
	for p, l := range byPart {
		if _, ok := q.good.last(p); !ok && ends(l) >= neededEnds {
			q.blocked[p] = q.companions(p, l)
		}
	}
	var turned []uint64
	for p, l := range byPart {
		at, ok := q.good.last(p)
		if !ok {
			continue
		}
		l = slices.DeleteFunc(l, func(x *loss) bool { return !x.at.After(at) || q.explains(x) })
		if ends(l) >= neededEndsIfGood {
			turned = append(turned, p)
		}
	}
	for _, p := range turned {
		q.blocked[p] = []uint64{}
	}
}

// companions returns the parts, not known to be good, that all losses with a part have in common.
func (q *Quarantine) companions(part uint64, losses []*loss) []uint64 {
	c := []uint64{}
	for _, p := range losses[0].Parts {
		_, good := q.good.last(p)
		if p != part && !good {
			c = append(c, p)
		}
	}
	for _, x := range losses[1:] {
		c = slices.DeleteFunc(c, func(p uint64) bool { return !slices.Contains(x.Parts, p) })
	}
	return c
}

// ends returns the number of upstreams that ended in these losses, where those that ended together before they answered
// count as one.
func ends(losses []*loss) int {
	l := slices.Clone(losses)
	slices.SortFunc(l, func(a, b *loss) int { return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.ID, b.ID)) })
	answering := map[uint64]bool{}
	for _, x := range l {
		answering[x.Upstream] = answering[x.Upstream] || x.Answering
	}
	n := 0
	seen := map[uint64]bool{}
	var counted time.Time
	for _, x := range l {
		if seen[x.Upstream] || !answering[x.Upstream] && n > 0 && x.at.Sub(counted) < groupWindow {
			continue
		}
		seen[x.Upstream] = true
		counted = x.at
		n++
	}
	return n
}
