package rate

import (
	"slices"
	"time"

	"siskinrun/internal/limits/ask"
	"siskinrun/internal/limits/award"
	"siskinrun/internal/limits/holding"
)

// holder is one run of a host that has asked.
type holder struct {
	boot     uint64
	sequence uint64
	demand   int64
	asked    time.Time
	answer   award.Award
	grants   []*grant
}

type grant struct {
	number   uint64
	left     int64
	returned int64
	ends     time.Time
	holder   *holder
}

func (h *holder) held() int64 {
	var n int64
	for _, g := range h.grants {
		n += g.left
	}
	return n
}

// holder returns the asking run of a host, or nil for a run that a later one has replaced.
func (b *Bucket) holder(a ask.Ask) *holder {
	h := b.holders[a.Host]
	if h == nil {
		h = &holder{boot: a.Boot}
		b.holders[a.Host] = h
	}
	if a.Boot < h.boot {
		return nil
	}
	if a.Boot > h.boot {
		// The grants of the earlier run stay outstanding until they end.
		h.boot = a.Boot
		h.sequence = 0
		h.answer = award.Award{}
	}
	return h
}

// settle counts what was spent and takes back what was handed back, each only once.
func (b *Bucket) settle(h *holder, a ask.Ask) {
	if a.Term != b.Term {
		return
	}
	for _, g := range h.grants {
		if g.number == adopted {
			b.count(g, holding.Holding{Left: a.Earlier})
		}
	}
	for _, s := range a.Holdings {
		if g := h.find(s.Grant); g != nil && s.Grant != adopted {
			b.count(g, s)
		}
	}
	h.grants = slices.DeleteFunc(h.grants, func(g *grant) bool { return g.left == 0 })
}

func (b *Bucket) count(g *grant, s holding.Holding) {
	back := s.Returned - g.returned
	left := max(min(g.left, s.Left), 0)
	if back > g.left-left {
		return
	}
	b.outstanding -= g.left - left
	g.left = left
	if back > 0 {
		g.returned = s.Returned
		b.available += back * nano
	}
	b.trim()
}

func (h *holder) find(number uint64) *grant {
	for _, g := range h.grants {
		if g.number == number {
			return g
		}
	}
	return nil
}

// again answers a resent ask as the first time, without a new grant.
func (b *Bucket) again(h *holder, a ask.Ask) award.Award {
	if a.Sequence == h.answer.Sequence {
		return h.answer
	}
	return award.Award{Team: a.Team, Sequence: a.Sequence, Term: b.Term, Rate: b.rate, Burst: b.burst}
}

func (b *Bucket) grant(now time.Time, h *holder, units int64, life time.Duration) uint64 {
	b.last++
	g := &grant{number: b.last, left: units, ends: now.Add(stretch(life)), holder: h}
	h.grants = append(h.grants, g)
	b.queue(g)
	b.outstanding += units
	b.available -= units * nano
	return g.number
}

// queue inserts a grant in the order of ends.
func (b *Bucket) queue(g *grant) {
	i := len(b.ends)
	for i > 0 && b.ends[i-1].ends.After(g.ends) {
		i--
	}
	b.ends = slices.Insert(b.ends, i, g)
}

// end forgets a grant; what was not handed back counts as spent.
func (b *Bucket) end(g *grant) {
	b.outstanding -= g.left
	h := g.holder
	h.grants = slices.DeleteFunc(h.grants, func(o *grant) bool { return o == g })
}
