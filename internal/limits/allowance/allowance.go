package allowance

import (
	"math"
	"time"

	"siskinrun/internal/limits/grantbalance"
	"siskinrun/internal/limits/grantreply"
	"siskinrun/internal/limits/grantrequest"
)

const (
	// Horizon is the span of expected demand that a host prefetches if the burst allows.
	Horizon = 1600 * time.Millisecond

	// demandWindow is the time constant of the moving average of demand.
	demandWindow = 2 * time.Second
	// A host asks for more once its balance is 1/refillDivisor below the target. It returns a grant in the last
	// 1/refillDivisor of the time that it may spend it.
	refillDivisor = 8
	// A report to the owner is due once 1/reportDivisor of the burst is spent, so that it can grant the units again.
	reportDivisor = 32
	// maxPrefetchShare is the largest fraction of the burst that all hosts together prefetch at the full rate.
	maxPrefetchShare = 0.75
	// idleTimeout is how long a host keeps units for a team without requests.
	idleTimeout = 3 * time.Second
	// minRetryInterval is the shortest time between requests while the owner grants less than is needed.
	minRetryInterval = 10 * time.Millisecond
)

// Allowance holds the grants that one host may spend for one team.
type Allowance struct {
	// Team is the name of the team.
	Team string
	// Host is the name of this host.
	Host string
	// Boot identifies the run of this host.
	Boot uint64
	// Sequence is the sequence number of the last request.
	Sequence uint64

	term          uint64
	grants        []grant
	pending       pending
	recentCost    int64
	largestCost   int64
	demandRate    float64
	demandUpdated time.Time
	lastUsed      time.Time
	prefetchAfter time.Time
	retryAt       time.Time
	settling      bool
	draining      bool
	unreported    int64
	// reports counts the requests, each of which tells the owner what was spent.
	reports uint64
	rate    int64
	burst   int64
}

type grant struct {
	term     uint64
	number   uint64
	left     int64
	returned int64
	// drawn is what was spent since the last request.
	drawn int64
	// reportedIn is the sequence number of the request that first reported the grant as spent, or zero.
	reportedIn uint64
	expires    time.Time
	sent       time.Time
}

// pending is the request that awaits its reply.
type pending struct {
	sequence uint64
	want     int64
	sent     time.Time
	lost     bool
}

// Spend takes the cost from unexpired grants and reports whether they covered it; if not, it takes nothing.
func (a *Allowance) Spend(now time.Time, cost int64) bool {
	a.dropExpired(now)
	if a.balance() < cost {
		return false
	}
	a.unreported += cost
	for i := range a.grants {
		g := &a.grants[i]
		n := min(g.left, cost)
		g.left -= n
		g.drawn += n
		cost -= n
		if cost == 0 {
			break
		}
	}
	return true
}

// StartReports sets the number that Reports returns first.
func (a *Allowance) StartReports(n uint64) {
	a.reports = n
}

// Forfeit lets nothing that was spent so far be taken back.
func (a *Allowance) Forfeit() {
	a.report()
}

// Reports returns the number of requests so far. Return takes it to tell whether the owner has heard of a spending.
func (a *Allowance) Reports() uint64 {
	return a.reports
}

// Return takes back units that were spent after the given number of requests, for a call that has not run, and returns how many.
// Units that the owner has heard of, and those of expired grants, stay spent.
func (a *Allowance) Return(now time.Time, cost int64, reports uint64) int64 {
	a.dropExpired(now)
	if reports != a.reports {
		return 0
	}
	var back int64
	for i := range a.grants {
		g := &a.grants[i]
		n := min(g.drawn, cost-back)
		g.drawn -= n
		g.left += n
		back += n
	}
	a.unreported -= back
	return back
}

// RecordDemand adds the cost of a request to the measured demand.
func (a *Allowance) RecordDemand(now time.Time, cost int64) {
	if a.lastUsed.IsZero() {
		a.demandUpdated = now
	}
	a.lastUsed = now
	a.recentCost += cost
	a.largestCost = max(a.largestCost, cost)
}

// NextRequest returns the next request for the owner, if one is due.
func (a *Allowance) NextRequest(now time.Time, need, least int64) (grantrequest.Request, bool) {
	a.dropExpired(now)
	if a.pending.sequence != 0 && !a.pending.lost {
		return grantrequest.Request{}, false
	}
	a.updateDemand(now)
	returned := a.returnSurplus(now, need)
	q := grantrequest.Request{Team: a.Team, Host: a.Host, Boot: a.Boot, Term: a.term, Demand: int64(math.Ceil(a.demandRate))}
	if need > 0 && !now.Before(a.retryAt) {
		q.Least = max(least-a.balance(), 0)
		q.Need = max(need-a.balance(), 0)
	}
	if !now.Before(a.prefetchAfter) && !a.draining {
		q.Want = a.prefetch(need)
	}
	q.Want = max(q.Want, q.Need)
	if q.Want == 0 && !returned && !a.pending.lost && !a.reportDue() {
		return grantrequest.Request{}, false
	}
	a.unreported = 0
	q.Sequence = a.nextSequence(now, q.Want)
	q.Balances = a.balances(q.Sequence)
	q.Earlier = a.earlierTerms(a.term)
	a.report()
	return q, true
}

// ApplyReply adds the grant that answers the pending request; replies for other requests or of earlier terms are ignored.
func (a *Allowance) ApplyReply(now time.Time, w grantreply.Reply) {
	p := a.pending
	if w.Sequence != p.sequence || w.Term < a.term {
		return
	}
	a.pending = pending{}
	a.term = w.Term
	a.rate = w.Rate
	a.burst = w.Burst
	a.settling = w.Settling
	a.dropReported(w.Sequence)
	e := p.sent.Add(w.TTL)
	if w.Units > 0 && e.After(now) {
		g := grant{term: w.Term, number: w.Grant, left: w.Units, expires: e, sent: p.sent}
		a.grants = append(a.grants, g)
	}
	a.retryAt = time.Time{}
	if w.RetryAfter > 0 {
		a.retryAt = now.Add(max(w.RetryAfter, minRetryInterval))
	}
	if w.Units < p.want {
		a.prefetchAfter = now.Add(Horizon / refillDivisor)
	}
}

// Fence rejects replies of terms before the given one and returns the units that may still be spent of those terms.
func (a *Allowance) Fence(now time.Time, term uint64) int64 {
	a.dropExpired(now)
	if term > a.term {
		a.term = term
		a.pending = pending{}
	}
	a.report()
	return a.earlierTerms(term)
}

// Drain makes the next request return all units and stops prefetching.
func (a *Allowance) Drain() {
	a.draining = true
}

// MarkLost marks a request as unanswered, so that it is resent, and reports whether it was still pending.
func (a *Allowance) MarkLost(sequence uint64) bool {
	if a.pending.sequence != sequence {
		return false
	}
	a.pending.lost = true
	return true
}

// Balance returns the number of units that can be spent now.
func (a *Allowance) Balance(now time.Time) int64 {
	a.dropExpired(now)
	return a.balance()
}

// Spendable returns the number of units that can be spent now, as Balance does, and changes nothing.
func (a *Allowance) Spendable(now time.Time) int64 {
	var n int64
	for _, g := range a.grants {
		if g.expires.After(now) {
			n += g.left
		}
	}
	return n
}

// RetryAfter returns how long the owner has nothing to grant, and whether that is because it is new.
func (a *Allowance) RetryAfter(now time.Time) (wait time.Duration, settling bool) {
	return max(a.retryAt.Sub(now), 0), a.settling
}

// Burst returns the most units that the owner can grant at once, or zero if it is not known yet.
func (a *Allowance) Burst() int64 {
	return a.burst
}

// Idle reports whether the host holds no grant, has no pending request to the owner and has had no recent request of a caller.
func (a *Allowance) Idle(now time.Time) bool {
	a.dropExpired(now)
	return len(a.grants) == 0 && a.pending.sequence == 0 && now.Sub(a.lastUsed) > 2*idleTimeout
}

// reportDue reports whether enough was spent since the last request to tell the owner at once.
func (a *Allowance) reportDue() bool {
	return a.unreported > 0 && a.unreported*reportDivisor >= a.burst
}

// nextSequence returns the sequence number of the request to send. A lost request is resent under its own number
// while a grant that the owner may have made for it has enough time left to be spent.
func (a *Allowance) nextSequence(now time.Time, want int64) uint64 {
	p := &a.pending
	if p.lost && now.Sub(p.sent) < Horizon/2 {
		p.lost = false
		return p.sequence
	}
	a.Sequence++
	*p = pending{sequence: a.Sequence, want: want, sent: now}
	return a.Sequence
}

// prefetch returns how many units the balance is short of need and expected demand. It returns zero while
// the shortfall is small.
func (a *Allowance) prefetch(need int64) int64 {
	t := a.targetBalance() + need
	s := a.balance()
	if s >= t-t/refillDivisor {
		return 0
	}
	return t - s
}

func (a *Allowance) targetBalance() int64 {
	if a.demandRate == 0 {
		return 0
	}
	h := Horizon.Seconds()
	if a.rate > 0 {
		h = min(h, maxPrefetchShare*float64(a.burst)/float64(a.rate))
	}
	return int64(math.Ceil(a.demandRate*h)) + a.largestCost
}

// returnSurplus returns units that will not be spent before they expire and reports whether there were any.
func (a *Allowance) returnSurplus(now time.Time, need int64) bool {
	t := a.targetBalance() + need
	s := a.balance()
	found := false
	for i := range a.grants {
		g := &a.grants[i]
		expiring := g.expires.Sub(now) < g.expires.Sub(g.sent)/refillDivisor
		n := int64(0)
		if s > 2*t {
			n = min(g.left, s-t)
		}
		if expiring || a.draining {
			n = g.left
		}
		if n == 0 || g.term != a.term {
			continue
		}
		g.left -= n
		g.returned += n
		s -= n
		found = true
	}
	return found
}

func (a *Allowance) balances(sequence uint64) []grantbalance.Balance {
	var l []grantbalance.Balance
	for i := range a.grants {
		g := &a.grants[i]
		if g.term != a.term {
			continue
		}
		if g.left == 0 && g.reportedIn == 0 {
			g.reportedIn = sequence
		}
		l = append(l, grantbalance.Balance{Grant: g.number, Left: g.left, Returned: g.returned})
	}
	return l
}

// report counts a request. What was spent before it can't be taken back any more.
func (a *Allowance) report() {
	a.reports++
	for i := range a.grants {
		a.grants[i].drawn = 0
	}
}

// earlierTerms returns the units that may still be spent of terms before the given one.
func (a *Allowance) earlierTerms(term uint64) int64 {
	var n int64
	for _, g := range a.grants {
		if g.term < term {
			n += g.left
		}
	}
	return n
}

// dropReported drops the grants that the answered request, or an earlier one, reported as spent.
func (a *Allowance) dropReported(sequence uint64) {
	k := a.grants[:0]
	for _, g := range a.grants {
		if g.reportedIn == 0 || g.reportedIn > sequence {
			k = append(k, g)
		}
	}
	a.grants = k
}

// updateDemand folds the demand since the last update into the moving average.
func (a *Allowance) updateDemand(now time.Time) {
	d := now.Sub(a.demandUpdated)
	if d <= 0 || a.lastUsed.IsZero() {
		return
	}
	if now.Sub(a.lastUsed) > idleTimeout {
		a.demandRate = 0
		a.largestCost = 0
		return
	}
	f := 1 - math.Exp(-d.Seconds()/demandWindow.Seconds())
	a.demandRate += (float64(a.recentCost)/d.Seconds() - a.demandRate) * f
	a.recentCost = 0
	a.demandUpdated = now
}

func (a *Allowance) dropExpired(now time.Time) {
	k := a.grants[:0]
	drawn := false
	for _, g := range a.grants {
		if g.expires.After(now) {
			k = append(k, g)
			continue
		}
		drawn = drawn || g.drawn > 0
	}
	a.grants = k
	if drawn {
		a.Forfeit() // it is not known which call drew on which grant
	}
}

func (a *Allowance) balance() int64 {
	var n int64
	for _, g := range a.grants {
		n += g.left
	}
	return n
}
