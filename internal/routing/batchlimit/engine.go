package batchlimit

import (
	"time"

	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/routing/peak"
)

const (
	// Online requests rise when they exceed their maximum of the last risePeakHold.
	risePeakHold = 2 * time.Second
	// cutInterval is the minimum time between two cuts of a ceiling.
	cutInterval = time.Second
	// A latency is a near miss above a share of the time for which the caller waits: minMargin plus marginRange times the share
	// of batch in the weights.
	minMargin   = 0.6
	marginRange = 0.4
	// A cut multiplies the ceiling by minCutFactor plus cutFactorRange times the share of batch in the weights.
	minCutFactor   = 0.6
	cutFactorRange = 0.3
	// nearMissWeight is the weight of one sample in the moving average of near misses.
	nearMissWeight = 0.01
	// maxNearMissShare is the share of near misses above which the ceiling is cut.
	maxNearMissShare = 0.01
)

// engine is the state of one engine.
type engine struct {
	slots      int
	ownOnline  int
	peerOnline int
	batch      int

	// limit bounds the batch streams. It grows by the free slots in each RampTime, from limitUpdated on; that is in
	// the future while growth is paused.
	limit        float64
	limitUpdated time.Time

	// ceiling is the most batch streams beside which callers do not run short of time; it was last raised at ceilingUpdated.
	ceiling        float64
	ceilingUpdated time.Time
	lastCut        time.Time
	firstToken     nearMissRate
	betweenTokens  nearMissRate

	// recentPeak and risePeak are the maxima of the online requests over PeakHold and risePeakHold.
	recentPeak heldPeak
	risePeak   heldPeak

	// unexplained is the load in the last report that recent counts do not account for.
	unexplained int
	reportTaken time.Time
	history     peak.History
}

func (e *engine) online() int {
	return e.ownOnline + e.peerOnline
}

// heldPeak is the maximum of a count, held until the count has stayed below it for some time.
type heldPeak struct {
	value int
	at    time.Time
}

// observe records the current count and reports whether it exceeds the held maximum.
func (p *heldPeak) observe(n int, now time.Time, hold time.Duration) bool {
	if n >= p.value {
		higher := n > p.value
		*p = heldPeak{n, now}
		return higher
	}
	if now.Sub(p.at) >= hold {
		*p = heldPeak{n, now}
	}
	return false
}

func (e *engine) applyReport(r loadreport.Report, at, now time.Time) {
	taken := at.Add(-r.Age.Duration())
	if !taken.After(e.reportTaken) {
		return
	}
	e.reportTaken = taken
	e.unexplained = max(r.Running+r.Waiting-e.history.MaxAround(taken, now), 0)
}

// unexplainedAt returns the unexplained load, which decays linearly in the second half of the report's TTL.
func (e *engine) unexplainedAt(now time.Time, ttl time.Duration) int {
	left := ttl - now.Sub(e.reportTaken)
	if e.unexplained == 0 || left <= 0 {
		return 0
	}
	return int(float64(e.unexplained) * min(2*float64(left)/float64(ttl), 1))
}

// nearMissRate is the moving average share of latency samples that nearly took as long as the caller waits.
type nearMissRate float64

// observe records one sample and reports whether it is a near miss and the share exceeds maxNearMissShare.
func (r *nearMissRate) observe(nearMiss bool) bool {
	n := 0.0
	if nearMiss {
		n = 1
	}
	*r += nearMissRate(n-float64(*r)) * nearMissWeight
	return nearMiss && *r > maxNearMissShare
}

// observeLatency lowers the ceiling when online answers nearly take as long as their callers wait while batch runs.
func (l *Limiter) observeLatency(e *engine, r *nearMissRate, took, patience time.Duration, at time.Time) {
	if patience <= 0 || e.batch == 0 {
		return
	}
	margin := minMargin + marginRange*l.batchShare()
	tooOften := r.observe(float64(took) > margin*float64(patience))
	if !tooOften || at.Sub(e.lastCut) < cutInterval {
		return
	}
	e.lastCut = at
	e.firstToken, e.betweenTokens = 0, 0
	e.raiseCeiling(at, l.CeilingRecovery)
	e.ceiling = min(e.ceiling, float64(e.batch)) * (minCutFactor + cutFactorRange*l.batchShare())
}

// raiseCeiling raises the ceiling linearly, by all slots in the recovery time.
func (e *engine) raiseCeiling(now time.Time, recovery time.Duration) {
	d := now.Sub(e.ceilingUpdated)
	if d <= 0 {
		return
	}
	e.ceilingUpdated = now
	e.ceiling = min(e.ceiling+float64(e.slots)*float64(d)/float64(recovery), float64(e.slots))
}
