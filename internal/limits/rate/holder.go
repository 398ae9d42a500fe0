package rate

import (
	"slices"
	"time"

	"siskinrun/internal/limits/grantbalance"
	"siskinrun/internal/limits/grantreply"
	"siskinrun/internal/limits/grantrequest"
)

// holder is the state of one run of a host that holds grants or has asked for them.
type holder struct {
	boot      uint64
	sequence  uint64
	demand    int64
	lastAsk   time.Time
	lastReply grantreply.Reply
	grants    []*grant
}

type grant struct {
	number   uint64
	left     int64
	returned int64
	expires  time.Time
	holder   *holder
}

func (h *holder) held() int64 {
	var n int64
	for _, g := range h.grants {
		n += g.left
	}
	return n
}

// holder returns the state of the run of the requesting host, or nil if a later run has sent requests already.
func (b *Bucket) holder(a grantrequest.Request) *holder {
	h := b.holders[a.Host]
	if h == nil {
		h = &holder{boot: a.Boot}
		b.holders[a.Host] = h
	}
	if a.Boot < h.boot {
		return nil
	}
	if a.Boot > h.boot {
		// Grants of the earlier run stay outstanding until they expire.
		h.boot = a.Boot
		h.sequence = 0
		h.lastReply = grantreply.Reply{}
	}
	return h
}

// reconcile applies the spent and returned units that a request reports. Repeated reports change nothing.
func (b *Bucket) reconcile(h *holder, a grantrequest.Request) {
	if a.Term != b.Term {
		return
	}
	for _, g := range h.grants {
		if g.number == inheritedGrant {
			b.applyBalance(g, grantbalance.Balance{Left: a.Earlier})
		}
	}
	for _, s := range a.Balances {
		if g := h.find(s.Grant); g != nil && s.Grant != inheritedGrant {
			b.applyBalance(g, s)
		}
	}
	h.grants = slices.DeleteFunc(h.grants, func(g *grant) bool { return g.left == 0 })
}

func (b *Bucket) applyBalance(g *grant, s grantbalance.Balance) {
	newlyReturned := s.Returned - g.returned
	left := max(min(g.left, s.Left), 0)
	if newlyReturned > g.left-left {
		return
	}
	b.outstanding -= g.left - left
	g.left = left
	if newlyReturned > 0 {
		g.returned = s.Returned
		b.available += newlyReturned * nanosPerUnit
	}
	b.capAvailable()
}

func (h *holder) find(number uint64) *grant {
	for _, g := range h.grants {
		if g.number == number {
			return g
		}
	}
	return nil
}

// replay answers a request that was handled before: the last one with the same reply, an older one without a grant.
func (b *Bucket) replay(h *holder, a grantrequest.Request) grantreply.Reply {
	if a.Sequence == h.lastReply.Sequence {
		return h.lastReply
	}
	return grantreply.Reply{Team: a.Team, Sequence: a.Sequence, Term: b.Term, Rate: b.rate, Burst: b.burst}
}

func (b *Bucket) issue(now time.Time, h *holder, units int64, ttl time.Duration) uint64 {
	b.lastGrant++
	g := &grant{number: b.lastGrant, left: units, expires: now.Add(withDrift(ttl)), holder: h}
	h.grants = append(h.grants, g)
	b.insertByExpiry(g)
	b.outstanding += units
	b.available -= units * nanosPerUnit
	return g.number
}

// insertByExpiry inserts a grant in order of expiry.
func (b *Bucket) insertByExpiry(g *grant) {
	i := len(b.byExpiry)
	for i > 0 && b.byExpiry[i-1].expires.After(g.expires) {
		i--
	}
	b.byExpiry = slices.Insert(b.byExpiry, i, g)
}

// expire removes a grant; units that were not returned count as spent.
func (b *Bucket) expire(g *grant) {
	b.outstanding -= g.left
	h := g.holder
	h.grants = slices.DeleteFunc(h.grants, func(o *grant) bool { return o == g })
}
