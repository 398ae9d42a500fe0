package audit

import (
	"time"

	"github.com/cockroachdb/errors"
)

const (
	million = 1_000_000
	nano    = int64(time.Second)
	// longest bounds the idle time that is counted, so that the arithmetic stays exact.
	longest = time.Hour
)

// Audit is a reference bucket: it never runs below zero if, and only if, every span of time keeps to the bound.
type Audit struct {
	// Tolerance is the allowed difference of clocks in parts per million.
	Tolerance int64

	limits []limit
	level  int64
	at     time.Time
}

// limit is a rate and a burst that count until a time, or for good if that is zero.
type limit struct {
	rate  int64
	burst int64
	until time.Time
}

// Limit puts a rate and a burst in force; a former and larger one stays allowed for the grace time.
func (a *Audit) Limit(now time.Time, rate, burst int64, grace time.Duration) {
	if len(a.limits) == 0 {
		a.at = now
		a.level = burst * nano
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

// Admit counts an admission and returns an error if some span of time now exceeds the bound.
func (a *Audit) Admit(now time.Time, cost int64) error {
	if len(a.limits) == 0 {
		return nil
	}
	a.advance(now)
	a.level -= cost * nano
	if a.level >= 0 {
		return nil
	}
	n := -a.level
	a.level = 0
	return errors.Newf("audit: %d billionths of a unit admitted over rate and burst", n)
}

// advance accrues up to now, piece by piece between changes of the limits.
func (a *Audit) advance(now time.Time) {
	for {
		e := now
		for _, l := range a.limits {
			if !l.until.IsZero() && l.until.Before(e) {
				e = l.until
			}
		}
		a.accrue(e)
		a.retire(e)
		if !e.Before(now) {
			return
		}
	}
}

func (a *Audit) accrue(now time.Time) {
	d := now.Sub(a.at)
	if d <= 0 {
		return
	}
	a.at = now
	d += d * time.Duration(a.Tolerance) / million
	r, b := a.most()
	room := b*nano - a.level
	if d >= longest || int64(d) > room/max(r, 1) {
		a.level = b * nano
		return
	}
	a.level += int64(d) * r
}

// retire drops limits that no longer count.
func (a *Audit) retire(now time.Time) {
	k := a.limits[:0]
	for _, l := range a.limits {
		if l.until.IsZero() || l.until.After(now) {
			k = append(k, l)
		}
	}
	a.limits = k
	_, b := a.most()
	a.level = min(a.level, b*nano)
}

// most returns the largest rate and burst that count.
func (a *Audit) most() (rate, burst int64) {
	for _, l := range a.limits {
		rate = max(rate, l.rate)
		burst = max(burst, l.burst)
	}
	return rate, burst
}
