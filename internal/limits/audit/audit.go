package audit

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	million = 1_000_000
	// nanosPerUnit is the number of nanounits in a unit.
	nanosPerUnit = int64(time.Second)
	// maxIdle is the idle time after which the bucket counts as full, so that the integer arithmetic stays exact.
	maxIdle = time.Hour
)

// Auditor is a reference token bucket: its level stays at or above zero if and only if the admissions in every
// span of time are within burst + rate * span.
type Auditor struct {
	// TolerancePPM is the clock drift to allow for, in parts per million.
	TolerancePPM int64

	limits []limit
	level  int64
	at     time.Time
}

// limit is a rate and a burst in force until a time, or without end if that is zero.
type limit struct {
	rate  int64
	burst int64
	until time.Time
}

// SetLimits puts a rate and a burst in force; the former ones stay allowed for the grace period.
func (a *Auditor) SetLimits(now time.Time, rate, burst int64, grace time.Duration) {
	if len(a.limits) == 0 {
		a.at = now
		a.level = burst * nanosPerUnit
		a.limits = []limit{{rate: rate, burst: burst}}
		return
	}
	c := &a.limits[len(a.limits)-1]
	if c.rate == rate && c.burst == burst {
		return
	}
	a.advance(now)
	c = &a.limits[len(a.limits)-1]
	c.until = now.Add(grace)
	a.limits = append(a.limits, limit{rate: rate, burst: burst})
}

// Admit records an admission and returns an error if it makes some span of time exceed the limits.
func (a *Auditor) Admit(now time.Time, cost int64) error {
	if len(a.limits) == 0 {
		return nil
	}
	a.advance(now)
	a.level -= cost * nanosPerUnit
	if a.level >= 0 {
		return nil
	}
	n := -a.level
	a.level = 0
	return errors.Newf("audit: admitted %d nanounits more than rate and burst allow", n)
}

// Return takes back part of an admission that came to nothing.
func (a *Auditor) Return(cost int64) {
	_, b := a.largest()
	a.level = min(a.level+cost*nanosPerUnit, b*nanosPerUnit)
}

// advance accrues up to now, in one step between every two changes of the limits.
func (a *Auditor) advance(now time.Time) {
	for {
		e := now
		for _, l := range a.limits {
			if !l.until.IsZero() && l.until.Before(e) {
				e = l.until
			}
		}
		a.accrue(e)
		a.dropExpired(e)
		if !e.Before(now) {
			return
		}
	}
}

func (a *Auditor) accrue(now time.Time) {
	d := now.Sub(a.at)
	if d <= 0 {
		return
	}
	a.at = now
	d += d * time.Duration(a.TolerancePPM) / million
	r, b := a.largest()
	headroom := b*nanosPerUnit - a.level
	if d >= maxIdle || int64(d) > headroom/max(r, 1) {
		a.level = b * nanosPerUnit
		return
	}
	a.level += int64(d) * r
}

// dropExpired drops limits that are no longer in force.
func (a *Auditor) dropExpired(now time.Time) {
	k := a.limits[:0]
	for _, l := range a.limits {
		if l.until.IsZero() || l.until.After(now) {
			k = append(k, l)
		}
	}
	a.limits = k
	_, b := a.largest()
	a.level = min(a.level, b*nanosPerUnit)
}

// largest returns the largest rate and the largest burst in force.
func (a *Auditor) largest() (rate, burst int64) {
	for _, l := range a.limits {
		rate = max(rate, l.rate)
		burst = max(burst, l.burst)
	}
	return rate, burst
}
