package yield

import (
	"time"

	"siskinrun/internal/data/report"
	"siskinrun/internal/routing/peak"
)

const (
	riseHold    = 2 * time.Second
	cutInterval = time.Second
	marginLeast = 0.6
	marginRange = 0.4
	cutLeast    = 0.6
	cutRange    = 0.3
	lateWeight  = 0.01
	lateShare   = 0.01
)

// engine is what is known of one engine.
type engine struct {
	slots int
	own   int
	peers int
	batch int

	// limit follows the room that online requests leave, grown up to the time grown.
	limit float64
	grown time.Time

	// ceiling is the most batch that does online answers no harm, raised up to the time raised.
	ceiling float64
	raised  time.Time
	cut     time.Time
	first   late
	between late

	// high and rise are the most online requests of a short and of a longer time.
	high crest
	rise crest

	// unknown is the load of the last report that no count of late explains.
	unknown  int
	reported time.Time
	total    peak.Peak
}

func (e *engine) online() int {
	return e.own + e.peers
}

// crest is the most of a number until it has not been reached for some time.
type crest struct {
	most int
	at   time.Time
}

// see takes in the number as it is now and reports whether it is a new peak.
func (p *crest) see(n int, now time.Time, hold time.Duration) bool {
	if n >= p.most {
		higher := n > p.most
		*p = crest{n, now}
		return higher
	}
	if now.Sub(p.at) >= hold {
		*p = crest{n, now}
	}
	return false
}

func (e *engine) report(r report.Report, at, now time.Time) {
	taken := at.Add(-r.Age.Duration())
	if !taken.After(e.reported) {
		return
	}
	e.reported = taken
	e.unknown = max(r.Running+r.Waiting-e.total.Around(taken, now), 0)
}

// unknownAt returns the load that no count explains, which fades in the second half of a report's life.
func (e *engine) unknownAt(now time.Time, life time.Duration) int {
	left := life - now.Sub(e.reported)
	if e.unknown == 0 || left <= 0 {
		return 0
	}
	return int(float64(e.unknown) * min(2*float64(left)/float64(life), 1))
}

// late is the share of recent samples that came close to their contract.
type late float64

// add takes in one sample and reports whether more than the tolerated share is late.
func (l *late) add(bad bool) bool {
	n := 0.0
	if bad {
		n = 1
	}
	*l += late(n-float64(*l)) * lateWeight
	return bad && *l > lateShare
}

// sample lowers the ceiling when online answers come close to their contract while batch runs.
func (y *Yield) sample(e *engine, l *late, took, contract time.Duration, at time.Time) {
	if contract <= 0 || e.batch == 0 {
		return
	}
	margin := marginLeast + marginRange*y.share()
	tight := l.add(float64(took) > margin*float64(contract))
	if !tight || at.Sub(e.cut) < cutInterval {
		return
	}
	e.cut = at
	e.first, e.between = 0, 0
	e.raise(at, y.Recovery)
	e.ceiling = min(e.ceiling, float64(e.batch)) * (cutLeast + cutRange*y.share())
}

// raise lets the ceiling grow back by steps.
func (e *engine) raise(now time.Time, recovery time.Duration) {
	d := now.Sub(e.raised)
	if d <= 0 {
		return
	}
	e.raised = now
	e.ceiling = min(e.ceiling+float64(e.slots)*float64(d)/float64(recovery), float64(e.slots))
}
