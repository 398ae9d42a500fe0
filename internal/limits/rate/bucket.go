package rate

import (
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/limits/grantreply"
	"siskinrun/internal/limits/grantrequest"
)

const (
	// MaxDriftPPM is the largest assumed relative drift between two clocks of the fleet, in parts per million.
	MaxDriftPPM = 500
	// MaxBurst is the largest burst of a bucket, in units.
	MaxBurst = 4_000_000_000
	// MaxRate is the largest rate of a bucket, in units per second.
	MaxRate = 1_000_000_000

	// inheritedGrant is the number of each grant that stands for units granted in earlier terms.
	inheritedGrant = 0

	million = 1_000_000
	// nanosPerUnit is the number of nanounits in a unit. A rate in units per second is the same
	// number in nanounits per nanosecond, so accrual is exact in integers.
	nanosPerUnit = int64(time.Second)
	// One host may hold at most 1/hostShareDivisor of the burst for the full TTL.
	hostShareDivisor = 4
	// fleetShareNumerator/fleetShareDenominator is the part of the burst that all hosts together may prefetch.
	fleetShareNumerator   = 7
	fleetShareDenominator = 8
)

// Bucket is the token bucket of one team during one term of its owner.
type Bucket struct {
	// Term is the fencing token of the grants.
	Term uint64
	// TTL is how long a host may spend a grant that keeps it within its HostShare.
	TTL time.Duration
	// ShortTTL is how long a host may spend a grant that takes it over its HostShare.
	ShortTTL time.Duration

	rate         int64
	burst        int64
	available    int64
	outstanding  int64
	demand       int64
	accruedUntil time.Time
	// withheld of shares equal shares of the rate do not accrue.
	withheld  int
	shares    int
	lastGrant uint64
	holders   map[string]*holder
	byExpiry  []*grant
}

// NewBucket returns an empty bucket that accrues units from start on.
func NewBucket(term uint64, rate, burst int64, start time.Time) *Bucket {
	return &Bucket{
		Term:         term,
		rate:         clamp(rate, MaxRate),
		burst:        clamp(burst, MaxBurst),
		accruedUntil: start,
		holders:      map[string]*holder{},
	}
}

// ExpiredEverywhere returns the time at which grants with the given TTL, issued up to until, have expired on every
// clock of the fleet.
func ExpiredEverywhere(until time.Time, ttl time.Duration) time.Time {
	return until.Add(withDrift(ttl))
}

// HostShare returns the most units of a burst that one host may hold for the full TTL.
func HostShare(burst int64) int64 {
	return (clamp(burst, MaxBurst) + hostShareDivisor - 1) / hostShareDivisor
}

// FleetShare returns the most units of a burst that all hosts together hold for the full TTL.
func FleetShare(burst int64) int64 {
	return clamp(burst, MaxBurst) * fleetShareNumerator / fleetShareDenominator
}

// AddOutstanding counts as outstanding the units that a host may still spend from grants of earlier terms.
func (b *Bucket) AddOutstanding(host string, units int64, ends time.Time) {
	if units <= 0 {
		return
	}
	h := b.holders[host]
	if h == nil {
		h = &holder{}
		b.holders[host] = h
	}
	g := &grant{number: inheritedGrant, left: units, expires: ends, holder: h}
	h.grants = append(h.grants, g)
	b.insertByExpiry(g)
	b.outstanding += units
	b.capAvailable()
}

// SetLimits changes the rate and the burst. A raised burst accrues; a lowered one takes effect at once.
func (b *Bucket) SetLimits(now time.Time, rate, burst int64) {
	b.advance(now)
	b.rate = clamp(rate, MaxRate)
	b.burst = clamp(burst, MaxBurst)
	b.capAvailable()
}

// Withhold lets some of a number of equal shares of the rate not accrue, since others accrue them.
func (b *Bucket) Withhold(now time.Time, withheld, shares int) {
	if withheld < b.withheld {
		b.advance(now)
	}
	// Otherwise it also holds for what has not accrued yet: the other holders may have begun at any time since.
	b.withheld, b.shares = withheld, shares
}

// Handle applies the balances that a request reports and grants what it asks for, as far as the bucket allows.
func (b *Bucket) Handle(now time.Time, a grantrequest.Request) grantreply.Reply {
	b.advance(now)
	h := b.holder(a)
	if h == nil {
		return grantreply.Reply{Team: a.Team, Sequence: a.Sequence, Term: b.Term}
	}
	b.reconcile(h, a)
	if a.Sequence <= h.sequence {
		return b.replay(h, a)
	}
	h.sequence = a.Sequence
	h.lastAsk = now
	b.demand += a.Demand - h.demand
	h.demand = a.Demand
	w := grantreply.Reply{
		Team:     a.Team,
		Sequence: a.Sequence,
		Term:     b.Term,
		Rate:     b.rate,
		Burst:    b.burst,
		Units:    b.allocate(h, a),
	}
	if w.Units > 0 {
		w.TTL = b.ttl(h, w.Units)
		w.Grant = b.issue(now, h, w.Units, w.TTL)
	}
	if w.Units < a.Need {
		w.RetryAfter = b.retryAfter(now, max(a.Least, 1))
		w.Settling = b.accruedUntil.After(now)
	}
	h.lastReply = w
	return w
}

// Prune removes hosts that no longer send requests and reports whether any units are still outstanding.
func (b *Bucket) Prune(now time.Time) bool {
	b.advance(now)
	for n, h := range b.holders {
		if now.Sub(h.lastAsk) < 2*b.TTL || len(h.grants) > 0 {
			continue
		}
		b.demand -= h.demand
		delete(b.holders, n)
	}
	return b.outstanding > 0
}

// Check returns an error if the bucket holds more than its burst or its sum of outstanding units is wrong.
func (b *Bucket) Check() error {
	var n int64
	for _, g := range b.byExpiry {
		n += g.left
	}
	if n != b.outstanding {
		return errors.Newf("rate: grants sum to %d units, but %d are counted as outstanding", n, b.outstanding)
	}
	if b.available < 0 {
		return errors.Newf("rate: %d nanounits available", b.available)
	}
	if b.available > 0 && b.available > (b.burst-b.outstanding)*nanosPerUnit {
		return errors.Newf("rate: %d nanounits available, more than burst %d less %d outstanding", b.available, b.burst, b.outstanding)
	}
	return nil
}

// allocate returns how many units the request gets: its need first, then units to prefetch in proportion to demand.
func (b *Bucket) allocate(h *holder, a grantrequest.Request) int64 {
	n := b.available / nanosPerUnit
	if n < a.Least || n <= 0 {
		return 0
	}
	u := min(n, max(a.Need, 0))
	if b.demand <= 0 {
		return u
	}
	part := float64(h.demand) / float64(b.demand)
	headroom := min(int64(float64(b.burst)*fleetShareNumerator/fleetShareDenominator*part), HostShare(b.burst)) - h.held() - u
	spare := int64(float64(n-u) * part)
	return u + max(0, min(a.Want-u, headroom, spare))
}

// ttl returns the TTL of a grant: the short one if the grant takes the host over its HostShare.
func (b *Bucket) ttl(h *holder, units int64) time.Duration {
	if h.held()+units > HostShare(b.burst) {
		return b.ShortTTL
	}
	return b.TTL
}

// retryAfter returns how long the bucket takes to accrue the missing units, or zero if it never can.
func (b *Bucket) retryAfter(now time.Time, units int64) time.Duration {
	if b.rate <= 0 || units > b.burst {
		return 0
	}
	d := b.accruedUntil.Sub(now)
	missing := float64(units*nanosPerUnit-b.available) / float64(b.rate)
	d += time.Duration(max(missing, 0) * (1 + 2*float64(MaxDriftPPM)/million))
	return max(d, time.Millisecond)
}

// advance expires grants and accrues units up to now.
func (b *Bucket) advance(now time.Time) {
	for len(b.byExpiry) > 0 && !b.byExpiry[0].expires.After(now) {
		b.accrue(b.byExpiry[0].expires)
		b.expire(b.byExpiry[0])
		b.byExpiry = b.byExpiry[1:]
	}
	b.accrue(now)
}

func (b *Bucket) accrue(now time.Time) {
	d := now.Sub(b.accruedUntil)
	if d <= 0 {
		return
	}
	b.accruedUntil = now
	d -= (d*MaxDriftPPM + million - 1) / million
	if d >= time.Hour || int64(d) > (MaxBurst*nanosPerUnit)/max(b.rate, 1) {
		b.available += b.accruing(MaxBurst*nanosPerUnit - b.available)
	} else {
		b.available += b.accruing(int64(d) * b.rate)
	}
	b.capAvailable()
}

// accruing returns what is left of accrued nanounits without the shares that are withheld, rounded down.
func (b *Bucket) accruing(n int64) int64 {
	if b.withheld == 0 {
		return n
	}
	return max(n-(n/int64(b.shares)+1)*int64(b.withheld), 0)
}

// capAvailable limits the available units to the burst less the outstanding units.
func (b *Bucket) capAvailable() {
	b.available = min(b.available, max(b.burst-b.outstanding, 0)*nanosPerUnit)
}

func clamp(n, upper int64) int64 {
	return min(max(n, 0), upper)
}

// withDrift lengthens d so that, measured by any clock of the fleet, it outlasts d by any other clock.
func withDrift(d time.Duration) time.Duration {
	return d + d*3*MaxDriftPPM/million + 1
}
