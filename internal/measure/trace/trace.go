package trace

import (
	"siskinrun/internal/base/span"
	"siskinrun/internal/data/record"
	"siskinrun/internal/measure/decision"
)

const (
	// Answered is decided on a call that an upstream answered.
	Answered = "answered"
	// Retried is decided on a call that was answered after more than one attempt.
	Retried = "answered-after-retry"
	// Refused is decided on a call that ended in a refusal.
	Refused = "refused"

	// Size is the usual number of decisions kept.
	Size = 8192
)

// Trace keeps the latest decisions; it is not safe for concurrent use.
type Trace struct {
	host string
	ring []decision.Decision
	next int
	full bool
}

// NewTrace returns an empty trace of a host that keeps size decisions.
func NewTrace(host string, size int) *Trace {
	return &Trace{host: host, ring: make([]decision.Decision, max(size, 1))}
}

// Add keeps what a record tells, in place of the oldest decision.
func (t *Trace) Add(r record.Record) {
	t.ring[t.next] = t.decide(r)
	t.next++
	if t.next == len(t.ring) {
		t.next = 0
		t.full = true
	}
}

func (t *Trace) decide(r record.Record) decision.Decision {
	d := decision.Decision{
		At:       r.At,
		Host:     t.host,
		ID:       r.ID,
		Team:     r.Team,
		Route:    r.Route,
		Upstream: r.Upstream,
		Batch:    r.Batch,
		Verdict:  r.Verdict.String(),
		Status:   r.Status,
		Attempts: r.Attempts,
		Waited:   span.Span(r.Waited),
		Total:    span.Span(r.Total),
	}
	switch {
	case r.Code != "":
		d.What, d.Why = Refused, r.Code
	case r.Attempts > 1:
		d.What, d.Why = Retried, "the budget of retries allowed a further attempt"
	default:
		d.What, d.Why = Answered, "chosen upstream answered the first attempt"
	}
	return d
}

// Find returns up to most decisions on a call, team, upstream or route of that name, newest first.
func (t *Trace) Find(name string, most int) []decision.Decision {
	n := t.next
	if t.full {
		n = len(t.ring)
	}
	l := []decision.Decision{}
	for i := range n {
		d := &t.ring[(t.next-1-i+len(t.ring))%len(t.ring)]
		if len(l) == most {
			break
		}
		if d.ID == name || d.Team == name || d.Upstream == name || d.Route == name {
			l = append(l, *d)
		}
	}
	return l
}
