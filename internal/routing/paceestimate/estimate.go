package paceestimate

import (
	"math"
	"time"

	"siskinrun/internal/data/loadreport"
)

const (
	// fadeTime is the time constant with which the effect of a report fades: upstreams are slow for about 600 ms at a time.
	fadeTime = 600 * time.Millisecond
	// usualTime is the time constant of the average that stands for the usual pace.
	usualTime = 20 * time.Second
	// maxGap bounds the time for which one report counts in the average: a slow upstream gets few calls, and reports little.
	maxGap = time.Second
	// freshTime is the time for which an upstream counts as one that reports its pace.
	freshTime = 10 * time.Second
)

// Estimate is the pace of one upstream; its zero value stands for one that has not reported any.
type Estimate struct {
	latest float64
	usual  float64
	at     time.Time
}

// Observe takes a report that was measured at a time; older and repeated ones are ignored.
func (e *Estimate) Observe(pace int, at time.Time) {
	pace = loadreport.BoundPace(pace)
	if pace == 0 || !at.After(e.at) {
		return
	}
	v := float64(pace) / loadreport.UsualPace
	if e.at.IsZero() {
		e.usual = 1
	} else {
		gap := min(at.Sub(e.at), maxGap)
		e.usual += (e.latest - e.usual) * -math.Expm1(-float64(gap)/float64(usualTime))
	}
	e.latest, e.at = v, at
}

// At returns how long work is expected to take at a time, relative to the usual time of an upstream.
func (e *Estimate) At(now time.Time) float64 {
	if e.at.IsZero() {
		return 1
	}
	age := max(now.Sub(e.at), 0)
	return e.usual + (e.latest-e.usual)*math.Exp(-float64(age)/float64(fadeTime))
}

// Reports reports whether the upstream has reported a pace lately.
func (e *Estimate) Reports(now time.Time) bool {
	return !e.at.IsZero() && now.Sub(e.at) <= freshTime
}
