package decisionlog

import (
	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/callrecord"
	"siskinrun/internal/measure/decision"
)

const (
	// Answered is the outcome of a call that an upstream answered at the first attempt.
	Answered = "answered"
	// Retried is the outcome of a call that was answered after more than one attempt.
	Retried = "answered-after-retry"
	// Refused is the outcome of a call that ended in a refusal.
	Refused = "refused"

	// DefaultSize is the default number of decisions kept.
	DefaultSize = 8192
)

// Log keeps the latest decisions of a host. It is not safe for concurrent use.
type Log struct {
	host string
	ring []decision.Decision
	next int
	full bool
}

// NewLog returns an empty log of a host that keeps size decisions.
func NewLog(host string, size int) *Log {
	return &Log{host: host, ring: make([]decision.Decision, max(size, 1))}
}

// Add stores the decision on a call in place of the oldest one.
func (l *Log) Add(r callrecord.Record) {
	l.ring[l.next] = l.newDecision(r)
	l.next++
	if l.next == len(l.ring) {
		l.next = 0
		l.full = true
	}
}

func (l *Log) newDecision(r callrecord.Record) decision.Decision {
	d := decision.Decision{
		At:       r.EndedAt,
		Host:     l.host,
		ID:       r.ID,
		Team:     r.Team,
		Route:    r.Route,
		Upstream: r.Upstream,
		Batch:    r.Batch,
		Verdict:  r.Verdict.String(),
		Status:   r.Status,
		Attempts: r.Attempts,
		Waited:   duration.Duration(r.Waited),
		Total:    duration.Duration(r.Total),
	}
	switch {
	case r.Code != "":
		d.Outcome, d.Reason = Refused, r.Code
	case r.Attempts > 1:
		d.Outcome, d.Reason = Retried, "the budget of retries allowed a further attempt"
	default:
		d.Outcome, d.Reason = Answered, "chosen upstream answered the first attempt"
	}
	return d
}

// Find returns up to limit decisions whose call ID, team, upstream or route equals name, newest first.
func (l *Log) Find(name string, limit int) []decision.Decision {
	n := l.next
	if l.full {
		n = len(l.ring)
	}
	f := []decision.Decision{}
	for i := range n {
		d := &l.ring[(l.next-1-i+len(l.ring))%len(l.ring)]
		if len(f) == limit {
			break
		}
		if d.ID == name || d.Team == name || d.Upstream == name || d.Route == name {
			f = append(f, *d)
		}
	}
	return f
}
