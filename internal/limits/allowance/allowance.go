package allowance

import (
	"math"
	"time"

	"siskinrun/internal/limits/ask"
	"siskinrun/internal/limits/award"
	"siskinrun/internal/limits/holding"
)

const (
	// Horizon is how far ahead of demand a host holds units if the burst allows.
	Horizon = 1600 * time.Millisecond

	demandWindow = 2 * time.Second
	// refills is the number of grants in which a stock is renewed.
	refills = 8
	// toldParts is the number of parts of the burst of which one may be spent without telling the owner.
	toldParts = 32
	// stockShare is the share of the burst that all hosts together hold at most at the full rate.
	stockShare = 0.75
	// idleAfter is how long a host keeps units for a team that sends nothing.
	idleAfter = 3 * time.Second
	// emptyPoll is the least time between asks that are answered by nothing.
	emptyPoll = 10 * time.Millisecond
)

// Allowance is what one host may spend for one team.
type Allowance struct {
	// Team names the team.
	Team string
	// Host names this host.
	Host string
	// Boot distinguishes the runs of this host.
	Boot uint64
	// Sequence is that of the last ask.
	Sequence uint64

	term       uint64
	grants     []grant
	pending    pending
	recent     int64
	largest    int64
	demand     float64
	counted    time.Time
	used       time.Time
	aheadFrom  time.Time
	emptyUntil time.Time
	settling   bool
	draining   bool
	untold     int64
	rate       int64
	burst      int64
}

type grant struct {
	term     uint64
	number   uint64
	left     int64
	returned int64
	told     uint64
	ends     time.Time
	sent     time.Time
}

// pending is the ask that has no answer yet.
type pending struct {
	sequence uint64
	want     int64
	sent     time.Time
	lost     bool
}

// Spend takes the cost out of unexpired grants and reports whether they covered it.
func (a *Allowance) Spend(now time.Time, cost int64) bool {
	a.expire(now)
	if a.stock() < cost {
		return false
	}
	a.untold += cost
	for i := range a.grants {
		g := &a.grants[i]
		n := min(g.left, cost)
		g.left -= n
		cost -= n
		if cost == 0 {
			break
		}
	}
	return true
}

// Want counts the cost of a request towards the demand.
func (a *Allowance) Want(now time.Time, cost int64) {
	if a.used.IsZero() {
		a.counted = now
	}
	a.used = now
	a.recent += cost
	a.largest = max(a.largest, cost)
}

// Ask returns the next message for the owner, if one is due.
func (a *Allowance) Ask(now time.Time, need, least int64) (ask.Ask, bool) {
	a.expire(now)
	if a.pending.sequence != 0 && !a.pending.lost {
		return ask.Ask{}, false
	}
	a.count(now)
	back := a.surplus(now, need)
	q := ask.Ask{Team: a.Team, Host: a.Host, Boot: a.Boot, Term: a.term, Demand: int64(math.Ceil(a.demand))}
	if need > 0 && !now.Before(a.emptyUntil) {
		q.Least = max(least-a.stock(), 0)
		q.Need = max(need-a.stock(), 0)
	}
	if !now.Before(a.aheadFrom) && !a.draining {
		q.Want = a.ahead(need)
	}
	q.Want = max(q.Want, q.Need)
	if q.Want == 0 && !back && !a.pending.lost && !a.owes() {
		return ask.Ask{}, false
	}
	a.untold = 0
	q.Sequence = a.open(now, q.Want)
	q.Holdings = a.holdings(q.Sequence)
	q.Earlier = a.earlier(a.term)
	return q, true
}

// Award adds what the owner granted for the pending ask.
func (a *Allowance) Award(now time.Time, w award.Award) {
	p := a.pending
	if w.Sequence != p.sequence || w.Term < a.term {
		return
	}
	a.pending = pending{}
	a.term = w.Term
	a.rate = w.Rate
	a.burst = w.Burst
	a.settling = w.Settling
	a.forget(w.Sequence)
	e := p.sent.Add(w.Life)
	if w.Units > 0 && e.After(now) {
		g := grant{term: w.Term, number: w.Grant, left: w.Units, ends: e, sent: p.sent}
		a.grants = append(a.grants, g)
	}
	a.emptyUntil = time.Time{}
	if w.RetryAfter > 0 {
		a.emptyUntil = now.Add(max(w.RetryAfter, emptyPoll))
	}
	if w.Units < p.want {
		a.aheadFrom = now.Add(Horizon / refills)
	}
}

// Fence refuses awards of earlier terms from now on and returns what may still be spent of them.
func (a *Allowance) Fence(now time.Time, term uint64) int64 {
	a.expire(now)
	if term > a.term {
		a.term = term
		a.pending = pending{}
	}
	return a.earlier(term)
}

// Drain hands everything back with the next ask and asks for nothing more.
func (a *Allowance) Drain() {
	a.draining = true
}

// Lost marks an ask that has no answer, so that it is sent again, and reports whether it had none.
func (a *Allowance) Lost(sequence uint64) bool {
	if a.pending.sequence != sequence {
		return false
	}
	a.pending.lost = true
	return true
}

// Stock returns the number of units that may be spent at once.
func (a *Allowance) Stock(now time.Time) int64 {
	a.expire(now)
	return a.stock()
}

// Empty returns how long the owner said that there is nothing, and whether that is for its being new.
func (a *Allowance) Empty(now time.Time) (wait time.Duration, settling bool) {
	return max(a.emptyUntil.Sub(now), 0), a.settling
}

// Burst returns the most units that the owner can grant at once, or zero if it has not said.
func (a *Allowance) Burst() int64 {
	return a.burst
}

// Idle reports whether nothing is held, pending or recently used.
func (a *Allowance) Idle(now time.Time) bool {
	a.expire(now)
	return len(a.grants) == 0 && a.pending.sequence == 0 && now.Sub(a.used) > 2*idleAfter
}

// owes reports whether so much was spent since the last ask that the owner should know.
func (a *Allowance) owes() bool {
	return a.untold > 0 && a.untold*toldParts >= a.burst
}

// open returns the sequence of the ask to send: that of a lost one while its grant is of use.
func (a *Allowance) open(now time.Time, want int64) uint64 {
	p := &a.pending
	if p.lost && now.Sub(p.sent) < Horizon/2 {
		p.lost = false
		return p.sequence
	}
	a.Sequence++
	*p = pending{sequence: a.Sequence, want: want, sent: now}
	return a.Sequence
}

// ahead returns how many units the stock is short of need and expected demand.
func (a *Allowance) ahead(need int64) int64 {
	t := a.target() + need
	s := a.stock()
	if s >= t-t/refills {
		return 0
	}
	return t - s
}

func (a *Allowance) target() int64 {
	if a.demand == 0 {
		return 0
	}
	h := Horizon.Seconds()
	if a.rate > 0 {
		h = min(h, stockShare*float64(a.burst)/float64(a.rate))
	}
	return int64(math.Ceil(a.demand*h)) + a.largest
}

// surplus hands back units that will not be spent in time and reports whether there were any.
func (a *Allowance) surplus(now time.Time, need int64) bool {
	t := a.target() + need
	s := a.stock()
	back := false
	for i := range a.grants {
		g := &a.grants[i]
		old := g.ends.Sub(now) < g.ends.Sub(g.sent)/refills
		n := int64(0)
		if s > 2*t {
			n = min(g.left, s-t)
		}
		if old || a.draining {
			n = g.left
		}
		if n == 0 || g.term != a.term {
			continue
		}
		g.left -= n
		g.returned += n
		s -= n
		back = true
	}
	return back
}

func (a *Allowance) holdings(sequence uint64) []holding.Holding {
	var l []holding.Holding
	for i := range a.grants {
		g := &a.grants[i]
		if g.term != a.term {
			continue
		}
		if g.left == 0 && g.told == 0 {
			g.told = sequence
		}
		l = append(l, holding.Holding{Grant: g.number, Left: g.left, Returned: g.returned})
	}
	return l
}

// earlier returns what may still be spent of terms before the given one.
func (a *Allowance) earlier(term uint64) int64 {
	var n int64
	for _, g := range a.grants {
		if g.term < term {
			n += g.left
		}
	}
	return n
}

// forget drops spent grants of which the owner knows.
func (a *Allowance) forget(sequence uint64) {
	k := a.grants[:0]
	for _, g := range a.grants {
		if g.told == 0 || g.told > sequence {
			k = append(k, g)
		}
	}
	a.grants = k
}

// count updates the demand by what was wanted since the last time.
func (a *Allowance) count(now time.Time) {
	d := now.Sub(a.counted)
	if d <= 0 || a.used.IsZero() {
		return
	}
	if now.Sub(a.used) > idleAfter {
		a.demand = 0
		a.largest = 0
		return
	}
	f := 1 - math.Exp(-d.Seconds()/demandWindow.Seconds())
	a.demand += (float64(a.recent)/d.Seconds() - a.demand) * f
	a.recent = 0
	a.counted = now
}

func (a *Allowance) expire(now time.Time) {
	k := a.grants[:0]
	for _, g := range a.grants {
		if g.ends.After(now) {
			k = append(k, g)
		}
	}
	a.grants = k
}

func (a *Allowance) stock() int64 {
	var n int64
	for _, g := range a.grants {
		n += g.left
	}
	return n
}
