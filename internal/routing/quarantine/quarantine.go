package quarantine

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinrun/internal/data/crashevidence"
)

const (
	// freshAnswer is the age up to which an answer on a part rules it out as the cause of a loss.
	freshAnswer = 2 * time.Second
	// hold is how long a loss counts, and how long a quarantined part stays so after the last request for it.
	hold = time.Hour
	// maxLosses is the maximum number of losses that are kept.
	maxLosses = 256
	// maxParts is the maximum number of parts that are kept of one loss.
	maxParts = 256
)

// Quarantine weighs which part of a prompt ends upstreams. A part is to blame if several upstreams ended under it and none
// has begun to answer on it since. It is not safe for concurrent use.
type Quarantine struct {
	losses map[uint64]*loss
	good   goodParts
	// blocked maps each quarantined part to its companions: the other parts, not known to be good, that all calls lost
	// with it had. Until a call without them is lost, any of them may be the cause.
	blocked map[uint64][]uint64
}

type loss struct {
	crashevidence.Loss
	at time.Time
}

// NewQuarantine returns a Quarantine without evidence.
func NewQuarantine() *Quarantine {
	return &Quarantine{losses: map[uint64]*loss{}, blocked: map[uint64][]uint64{}}
}

// Blocks reports whether a prompt with these parts must not reach an upstream, and keeps its part in quarantine.
func (q *Quarantine) Blocks(now time.Time, parts []uint64) bool {
	for _, p := range parts {
		c, ok := q.blocked[p]
		if !ok || !containsAll(parts, c) {
			continue
		}
		q.renew(now, p)
		return true
	}
	return false
}

// Size returns the number of quarantined parts.
func (q *Quarantine) Size() int {
	return len(q.blocked)
}

// Began records that an upstream began to answer on a prompt with these parts. It returns the parts that were suspected.
func (q *Quarantine) Began(now time.Time, parts []uint64) []uint64 {
	var cleared []uint64
	for _, p := range parts {
		if q.suspected(p) {
			cleared = append(cleared, p)
		}
		q.good.add(now, now, p)
	}
	if len(cleared) > 0 {
		q.judge()
	}
	return cleared
}

// Lost records a call whose upstream was lost before it began to answer, and returns what other hosts should know of it.
// Parts that were answered a moment ago are not the cause.
func (q *Quarantine) Lost(now time.Time, upstream uint64, parts []uint64, answering bool) (crashevidence.Loss, bool) {
	l := crashevidence.Loss{Upstream: upstream, Answering: answering}
	for _, p := range parts {
		at, ok := q.good.last(p)
		if (!ok || now.Sub(at) > freshAnswer) && len(l.Parts) < maxParts {
			l.Parts = append(l.Parts, p)
		}
	}
	if len(l.Parts) == 0 {
		return l, false
	}
	l.ID = identify(upstream, l.Parts)
	q.add(now, l)
	q.judge()
	return l, true
}

// identify returns the ID of a loss.
func identify(upstream uint64, parts []uint64) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, upstream)
	for _, p := range parts {
		b = binary.LittleEndian.AppendUint64(b, p)
	}
	return xxhash.Sum64(b)
}

// Learn records parts that another host knows to be good, and returns those that were suspected here.
func (q *Quarantine) Learn(now time.Time, good []crashevidence.Good) []crashevidence.Good {
	var cleared []crashevidence.Good
	for _, g := range good {
		_, known := q.good.last(g.Part)
		if !known && q.suspected(g.Part) {
			cleared = append(cleared, g)
		}
		q.good.add(now, now.Add(-g.Age), g.Part)
	}
	q.judge()
	return cleared
}

// Merge records what another host told and returns what this host knows better: parts of those losses that are good.
func (q *Quarantine) Merge(now time.Time, e crashevidence.Evidence) []crashevidence.Good {
	q.Learn(now, e.Good)
	for _, l := range e.Losses {
		if l.Age < hold && len(l.Parts) <= maxParts {
			q.add(now, l)
		}
	}
	q.judge()
	return q.KnownGood(now, e.Losses)
}

// KnownGood returns those parts of losses on which an upstream has begun to answer.
func (q *Quarantine) KnownGood(now time.Time, losses []crashevidence.Loss) []crashevidence.Good {
	var l []crashevidence.Good
	seen := map[uint64]bool{}
	for _, x := range losses {
		for _, p := range x.Parts {
			at, ok := q.good.last(p)
			if !ok || seen[p] {
				continue
			}
			seen[p] = true
			l = append(l, crashevidence.Good{Part: p, Age: now.Sub(at)})
		}
	}
	return l
}

// Losses returns all losses, to tell another host.
func (q *Quarantine) Losses(now time.Time) []crashevidence.Loss {
	q.expire(now)
	var l []crashevidence.Loss
	for _, x := range q.losses {
		e := x.Loss
		e.Age = max(now.Sub(x.at), 0)
		l = append(l, e)
	}
	return l
}

// Fingerprint returns a number that two hosts share if they know the same losses and the same of their parts to be good.
func (q *Quarantine) Fingerprint() uint64 {
	var f uint64
	good := map[uint64]bool{}
	for id, x := range q.losses {
		f ^= id
		for _, p := range x.Parts {
			if _, ok := q.good.last(p); ok {
				good[p] = true
			}
		}
	}
	for p := range good {
		f ^= p
	}
	return f
}

func (q *Quarantine) add(now time.Time, l crashevidence.Loss) {
	at := now.Add(-l.Age)
	if x := q.losses[l.ID]; x != nil {
		if at.After(x.at) {
			x.at = at
		}
		return
	}
	q.expire(now)
	if len(q.losses) >= maxLosses {
		delete(q.losses, q.leastUseful().ID)
	}
	q.losses[l.ID] = &loss{Loss: l, at: at}
}

// expire forgets losses that no longer count.
func (q *Quarantine) expire(now time.Time) {
	n := len(q.losses)
	for id, x := range q.losses {
		if now.Sub(x.at) >= hold {
			delete(q.losses, id)
		}
	}
	if len(q.losses) < n {
		q.judge()
	}
}

// leastUseful returns the oldest loss, one without a quarantined part if there is any.
func (q *Quarantine) leastUseful() *loss {
	var least *loss
	for _, x := range q.losses {
		if least == nil || q.lessUseful(x, least) {
			least = x
		}
	}
	return least
}

func (q *Quarantine) lessUseful(a, b *loss) bool {
	if x, y := q.explains(a), q.explains(b); x != y {
		return !x
	}
	if !a.at.Equal(b.at) {
		return a.at.Before(b.at)
	}
	return a.ID < b.ID
}

// explains reports whether a quarantined part is the cause of a loss.
func (q *Quarantine) explains(l *loss) bool {
	return slices.ContainsFunc(l.Parts, func(p uint64) bool { return q.blocked[p] != nil })
}

// renew keeps a quarantined part that is still asked for.
func (q *Quarantine) renew(now time.Time, part uint64) {
	for _, x := range q.losses {
		if now.After(x.at) && slices.Contains(x.Parts, part) && now.Sub(x.at) > hold/2 {
			x.at = now
		}
	}
}

// suspected reports whether a part is in a loss that no later answer on it has explained away.
func (q *Quarantine) suspected(part uint64) bool {
	at, ok := q.good.last(part)
	for _, x := range q.losses {
		if (!ok || x.at.After(at)) && slices.Contains(x.Parts, part) {
			return true
		}
	}
	return false
}

func containsAll(parts, wanted []uint64) bool {
	for _, p := range wanted {
		if !slices.Contains(parts, p) {
			return false
		}
	}
	return true
}
