package deputy

import (
	"time"

	"siskinrun/internal/limits/grantreply"
	"siskinrun/internal/limits/grantrequest"
	"siskinrun/internal/limits/rate"
)

const (
	// AnswerTime is the time after the sending of a request in which its reply counts.
	AnswerTime = 150 * time.Millisecond
	// TTL is how long a host may spend a grant of a deputy.
	TTL = 500 * time.Millisecond

	shortTTL = TTL / 2
	// startAfter is the time after the sending of the last answered request from which on a deputy grants. The owner has stopped by
	// then: it sent the reply within AnswerTime and stops promise.SilentAfter later. Clocks may drift.
	startAfter = 450 * time.Millisecond
	// endAfter is when the deputy stops, earlier than the owner begins again. Hosts that are cut off serve no keyed calls by then.
	endAfter = 3600 * time.Millisecond
)

// Deputy is the state of a host that may have the promise of the owner of one group.
type Deputy struct {
	held bool
	term uint64
	// stamp is that of the last reply, and sent when its request was sent.
	stamp int64
	sent  time.Time
	// adopted says that the promise is one of an earlier term, and that no reply of this one was applied.
	adopted bool
	// granted is when the deputy granted last. Its grants count until TTL after that, so later buckets begin to accrue then.
	granted time.Time
	// buckets are those since the owner was lost, by team.
	buckets map[string]*rate.Bucket
}

// Apply applies a reply of the owner of a term to a request that was sent at the given time.
func (d *Deputy) Apply(now, sent time.Time, term uint64, stamp int64, promised bool) {
	if term < d.term || now.Sub(sent) > AnswerTime || !sent.After(d.sent) {
		return
	}
	*d = Deputy{held: promised, term: term, stamp: stamp, sent: sent, granted: d.granted}
}

// Fence ends the promises of terms before the given one and reports whether there was one. If the new owner adopts the promise, it
// goes on until a reply of the new term is applied.
func (d *Deputy) Fence(now time.Time, term uint64, adopts bool) bool {
	held := d.held && now.Sub(d.sent) < endAfter
	if term == d.term && d.adopted {
		return held // the answer to an earlier fence may be lost
	}
	if term <= d.term {
		return false
	}
	if held && adopts {
		d.term, d.stamp, d.adopted = term, 0, true
		return true
	}
	*d = Deputy{term: term, granted: d.granted}
	return held
}

// Resign ends the promise for good: replies that come later for requests that were sent earlier are ignored.
func (d *Deputy) Resign(now time.Time) {
	*d = Deputy{term: d.term, sent: now, granted: d.granted}
}

// Confirmed returns the term and the stamp of the last reply that was applied, zero if there is no promise.
func (d *Deputy) Confirmed() (term uint64, stamp int64) {
	if !d.held || d.adopted {
		return 0, 0
	}
	return d.term, d.stamp
}

// Held reports whether the host has a promise.
func (d *Deputy) Held() bool {
	return d.held
}

// Active reports whether the owner has been lost for so long that the deputy grants.
func (d *Deputy) Active(now time.Time) bool {
	return d.held && !now.Before(d.start()) && now.Sub(d.sent) < endAfter
}

// start returns when the deputy begins to accrue.
func (d *Deputy) start() time.Time {
	return rate.ExpiredEverywhere(d.sent, startAfter)
}

// Handle answers a request of a host of the domain, given the deputy's share of the team's rate and its burst. It reports whether
// the deputy grants now.
func (d *Deputy) Handle(now time.Time, a grantrequest.Request, unitsPerSecond, burst int64) (grantreply.Reply, bool) {
	if !d.Active(now) {
		return grantreply.Reply{}, false
	}
	b := d.buckets[a.Team]
	if b == nil {
		b = rate.NewBucket(d.Epoch(), unitsPerSecond, burst, d.accrues())
		b.TTL, b.ShortTTL = TTL, shortTTL
		if d.buckets == nil {
			d.buckets = map[string]*rate.Bucket{}
		}
		d.buckets[a.Team] = b
	}
	b.SetLimits(now, unitsPerSecond, burst)
	w := b.Handle(now, a)
	if w.Units > 0 {
		d.granted = now
	}
	return w, true
}

// accrues returns when a bucket of this loss begins to accrue: once the grants of an earlier one have ended.
func (d *Deputy) accrues() time.Time {
	s := d.start()
	if e := rate.ExpiredEverywhere(d.granted, TTL); d.granted.Before(s) && e.After(s) {
		return e
	}
	return s
}

// Epoch fences the grants of one loss of the owner from those of the next.
func (d *Deputy) Epoch() uint64 {
	return uint64(d.sent.UnixNano())
}
