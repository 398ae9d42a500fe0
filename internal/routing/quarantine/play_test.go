package quarantine_test

import (
	"time"

	"siskinrun/internal/data/crashevidence"
	"siskinrun/internal/routing/quarantine"
)

type trait = crashevidence.Trait

// Parts of prompts and whole requests.
var (
	caller   = trait{Hash: 1}
	topic    = trait{Hash: 2}
	other    = trait{Hash: 3}
	deadly   = trait{Hash: 4}
	deadlier = trait{Hash: 5}
	page     = trait{Hash: 6, Request: true}
	request  = trait{Hash: 7, Request: true}
)

// session returns a part that few calls share.
func session(n uint64) trait {
	return trait{Hash: 1000 + n}
}

// event is one thing that a host sees, after a pause. A call that is lost was sent the given time before.
type event struct {
	pause     time.Duration
	began     []trait
	lost      []trait
	upstream  uint64
	answering bool
	sent      time.Duration
}

// usualTime is the time after which a call is lost that had been sent before a group of upstreams was killed.
const usualTime = 100 * time.Millisecond

// lost is an upstream that ends after the headers of an answer, just after it got the call.
func lost(pause time.Duration, upstream uint64, traits ...trait) event {
	return event{pause: pause, lost: traits, upstream: upstream, answering: true, sent: soon / 2}
}

// cut is the same where the call had been sent long before.
func cut(pause time.Duration, upstream uint64, traits ...trait) event {
	return event{pause: pause, lost: traits, upstream: upstream, answering: true, sent: usualTime}
}

func killed(pause time.Duration, upstream uint64, traits ...trait) event {
	return event{pause: pause, lost: traits, upstream: upstream, sent: usualTime}
}

// crashed is an upstream that ends before any header, a step after it got the call.
func crashed(pause time.Duration, upstream uint64, traits ...trait) event {
	return event{pause: pause, lost: traits, upstream: upstream, sent: step}
}

func began(pause time.Duration, traits ...trait) event {
	return event{pause: pause, began: traits}
}

const (
	soon  = 20 * time.Millisecond
	step  = 60 * time.Millisecond
	later = 3 * time.Second
)

// play lets a quarantine see events and returns it with the time of the last one.
func play(events []event) (*quarantine.Quarantine, time.Time) {
	q := quarantine.NewQuarantine()
	now := time.Unix(1000, 0)
	for _, e := range events {
		now = now.Add(e.pause)
		if e.lost != nil {
			q.Lost(now, now.Add(-e.sent), e.upstream, e.lost, e.answering)
			continue
		}
		q.Began(now, e.began)
	}
	return q, now
}
