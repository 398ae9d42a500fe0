package rate

import (
	"time"

	"github.com/cockroachdb/errors"

	"siskinrun/internal/limits/ask"
	"siskinrun/internal/limits/award"
)

const (
	// Drift bounds the difference between two clocks of the fleet in parts per million.
	Drift = 500
	// MaxBurst is the largest burst in units that a bucket holds.
	MaxBurst = 4_000_000_000
	// MaxRate is the largest rate in units a second that a bucket accrues.
	MaxRate = 1_000_000_000

	// adopted is the number of the grants that stand for those of earlier terms.
	adopted = 0

	million = 1_000_000
	// nano is the number of parts into which a unit is divided, so that a second accrues rate units exactly.
	nano = int64(time.Second)
	// holdParts is the number of parts of the burst of which a host may hold one for a whole life.
	holdParts = 4
	// stockParts of stockWhole is the part of the burst that hosts may hold ahead of need.
	stockParts = 7
	stockWhole = 8
)

// Bucket grants the units of one team under one term of its owner.
type Bucket struct {
	// Term fences the grants of this owner.
	Term uint64
	// Life is how long a host may spend a grant of a stock.
	Life time.Duration
	// NeedLife is how long a host may spend a grant that takes it over its part of the burst.
	NeedLife time.Duration

	rate        int64
	burst       int64
	available   int64
	outstanding int64
	demand      int64
	at          time.Time
	last        uint64
	holders     map[string]*holder
	ends        []*grant
}

// NewBucket returns an empty bucket that accrues from start.
func NewBucket(term uint64, rate, burst int64, start time.Time) *Bucket {
	return &Bucket{
		Term:    term,
		rate:    clamp(rate, MaxRate),
		burst:   clamp(burst, MaxBurst),
		at:      start,
		holders: map[string]*holder{},
	}
}

// Settled returns when grants of the given life that were made until a time have ended everywhere.
func Settled(until time.Time, life time.Duration) time.Time {
	return until.Add(stretch(life))
}

// Part returns the most units of a burst that a host may hold for a whole life.
func Part(burst int64) int64 {
	return (clamp(burst, MaxBurst) + holdParts - 1) / holdParts
}

// Stock returns the most units of a burst that all hosts together hold for a whole life.
func Stock(burst int64) int64 {
	return clamp(burst, MaxBurst) * stockParts / stockWhole
}

// Adopt counts units as outstanding that a host may still spend from grants of earlier terms.
func (b *Bucket) Adopt(host string, units int64, ends time.Time) {
	if units <= 0 {
		return
	}
	h := b.holders[host]
	if h == nil {
		h = &holder{}
		b.holders[host] = h
	}
	g := &grant{number: adopted, left: units, ends: ends, holder: h}
	h.grants = append(h.grants, g)
	b.queue(g)
	b.outstanding += units
	b.trim()
}

// Limit changes the rate and the burst from now on.
func (b *Bucket) Limit(now time.Time, rate, burst int64) {
	b.advance(now)
	b.rate = clamp(rate, MaxRate)
	b.burst = clamp(burst, MaxBurst)
	b.trim()
}

// Take counts what the host says of its grants and grants what it asks for as far as the bucket allows.
func (b *Bucket) Take(now time.Time, a ask.Ask) award.Award {
	b.advance(now)
	h := b.holder(a)
	if h == nil {
		return award.Award{Team: a.Team, Sequence: a.Sequence, Term: b.Term}
	}
	b.settle(h, a)
	if a.Sequence <= h.sequence {
		return b.again(h, a)
	}
	h.sequence = a.Sequence
	h.asked = now
	b.demand += a.Demand - h.demand
	h.demand = a.Demand
	w := award.Award{
		Team:     a.Team,
		Sequence: a.Sequence,
		Term:     b.Term,
		Rate:     b.rate,
		Burst:    b.burst,
		Units:    b.share(h, a),
	}
	if w.Units > 0 {
		w.Life = b.life(h, w.Units)
		w.Grant = b.grant(now, h, w.Units, w.Life)
	}
	if w.Units < a.Need {
		w.RetryAfter = b.wait(now, max(a.Least, 1))
		w.Settling = b.at.After(now)
	}
	h.answer = w
	return w
}

// Prune forgets hosts that no longer ask and reports whether any grant may still live.
func (b *Bucket) Prune(now time.Time) bool {
	b.advance(now)
	for n, h := range b.holders {
		if now.Sub(h.asked) < 2*b.Life || len(h.grants) > 0 {
			continue
		}
		b.demand -= h.demand
		delete(b.holders, n)
	}
	return b.outstanding > 0
}

// Check returns an error if the bucket holds more than its burst or miscounts its grants.
func (b *Bucket) Check() error {
	var n int64
	for _, g := range b.ends {
		n += g.left
	}
	if n != b.outstanding {
		return errors.Newf("rate: %d units outstanding but %d counted", n, b.outstanding)
	}
	if b.available < 0 {
		return errors.Newf("rate: %d available", b.available)
	}
	if b.available > 0 && b.available > (b.burst-b.outstanding)*nano {
		return errors.Newf("rate: %d available over burst %d less %d", b.available, b.burst, b.outstanding)
	}
	return nil
}

// share returns how many units the ask gets: its need first, then a stock in proportion to demand.
func (b *Bucket) share(h *holder, a ask.Ask) int64 {
	n := b.available / nano
	if n < a.Least || n <= 0 {
		return 0
	}
	u := min(n, max(a.Need, 0))
	if b.demand <= 0 {
		return u
	}
	part := float64(h.demand) / float64(b.demand)
	room := min(int64(float64(b.burst)*stockParts/stockWhole*part), Part(b.burst)) - h.held() - u
	spare := int64(float64(n-u) * part)
	return u + max(0, min(a.Want-u, room, spare))
}

// life returns how long a host may spend a grant: briefly if that takes the host over its part of the burst.
func (b *Bucket) life(h *holder, units int64) time.Duration {
	if h.held()+units > Part(b.burst) {
		return b.NeedLife
	}
	return b.Life
}

// wait returns how long the bucket needs to accrue the missing units.
func (b *Bucket) wait(now time.Time, units int64) time.Duration {
	if b.rate <= 0 || units > b.burst {
		return 0
	}
	d := b.at.Sub(now)
	missing := float64(units*nano-b.available) / float64(b.rate)
	d += time.Duration(max(missing, 0) * (1 + 2*float64(Drift)/million))
	return max(d, time.Millisecond)
}

// advance ends grants and accrues units up to now.
func (b *Bucket) advance(now time.Time) {
	for len(b.ends) > 0 && !b.ends[0].ends.After(now) {
		b.accrue(b.ends[0].ends)
		b.end(b.ends[0])
		b.ends = b.ends[1:]
	}
	b.accrue(now)
}

func (b *Bucket) accrue(now time.Time) {
	d := now.Sub(b.at)
	if d <= 0 {
		return
	}
	b.at = now
	d -= (d*Drift + million - 1) / million
	if d >= time.Hour || int64(d) > (MaxBurst*nano)/max(b.rate, 1) {
		b.available = MaxBurst * nano
	} else {
		b.available += int64(d) * b.rate
	}
	b.trim()
}

// trim caps what is available at the burst less what is outstanding.
func (b *Bucket) trim() {
	b.available = min(b.available, max(b.burst-b.outstanding, 0)*nano)
}

func clamp(n, most int64) int64 {
	return min(max(n, 0), most)
}

// stretch returns a span that outlasts d on any other clock of the fleet.
func stretch(d time.Duration) time.Duration {
	return d + d*3*Drift/million + 1
}
