package quarantine

import (
	"cmp"
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"siskinrun/internal/data/crashevidence"
)

const (
	// hold is how long a loss counts, and how long a quarantined trait stays so after the last call with it.
	hold = time.Hour
	// expiryInterval is the time between two searches for losses that no longer count.
	expiryInterval = time.Second
	// maxLosses is the maximum number of losses that are kept, and maxKeptTraits that of all their traits.
	maxLosses     = 1024
	maxKeptTraits = 1 << 16
	// maxTraits is the maximum number of traits that are kept of one loss.
	maxTraits = 256
	// maxLossesOfTrait is the maximum number of losses that are kept with one trait, the last ones.
	maxLossesOfTrait = 32
	// unknownSending is taken for the time from the sending of a call to its loss if another host did not tell it.
	unknownSending = time.Second
)

// loss is a call that was lost. at is the earliest time that hosts tell, since news is delayed.
type loss struct {
	crashevidence.Loss
	at   time.Time
	sent time.Time
	// used is when the loss last kept a call away.
	used time.Time
}

func newLoss(now time.Time, l crashevidence.Loss) *loss {
	at := now.Add(-l.Age)
	b := l.SentBefore
	if b <= 0 {
		b = unknownSending
	}
	return &loss{Loss: l, at: at, sent: at.Add(-b), used: now.Add(-min(l.Idle, l.Age))}
}

// update takes over what another host says of the same loss.
func (x *loss) update(y *loss) {
	if y.used.After(x.used) {
		x.used = y.used
	}
	if y.at.Before(x.at) {
		x.at, x.sent = y.at, y.sent
	}
}

// evidence returns the loss as it is told to another host.
func (x *loss) evidence(now time.Time) crashevidence.Loss {
	e := x.Loss
	e.Age = max(now.Sub(x.at), 0)
	e.SentBefore = x.at.Sub(x.sent)
	e.Idle = max(min(now.Sub(x.used), e.Age), 0)
	return e
}

// identify returns the ID of a loss, which only one host saw.
func identify(upstream uint64, sent time.Time, traits []crashevidence.Trait) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, upstream)
	b = binary.LittleEndian.AppendUint64(b, uint64(sent.UnixNano()))
	for _, t := range traits {
		b = binary.LittleEndian.AppendUint64(b, t.Hash)
	}
	return xxhash.Sum64(b)
}

// Losses returns the losses that are not explained, to tell another host: those that share a trait with another one first,
// each kind in random order.
func (q *Quarantine) Losses(now time.Time) []crashevidence.Loss {
	q.expire(now)
	var shared, single []crashevidence.Loss
	for _, x := range q.losses {
		if slices.ContainsFunc(x.Traits, func(t crashevidence.Trait) bool { return len(q.byTrait[t]) > 1 }) {
			shared = append(shared, x.evidence(now))
			continue
		}
		single = append(single, x.evidence(now))
	}
	for _, l := range [][]crashevidence.Loss{shared, single} {
		rand.Shuffle(len(l), func(i, j int) { l[i], l[j] = l[j], l[i] })
	}
	return append(shared, single...)
}

// LossesOf returns the losses with a trait.
func (q *Quarantine) LossesOf(now time.Time, t crashevidence.Trait) []crashevidence.Loss {
	var l []crashevidence.Loss
	for _, x := range q.byTrait[t] {
		l = append(l, x.evidence(now))
	}
	return l
}

// Fingerprint returns a number that two hosts share if they have the same losses and know the same of their traits.
func (q *Quarantine) Fingerprint() uint64 {
	f := uint64(1) // not zero, which says that it is not told
	for _, x := range q.losses {
		for _, t := range x.Traits {
			if q.answeredSince(x, t) {
				continue
			}
			_, good := q.good.last(t)
			f ^= mix(x.ID, t, good)
		}
	}
	return f
}

func mix(id uint64, t crashevidence.Trait, good bool) uint64 {
	b := binary.LittleEndian.AppendUint64(nil, id)
	b = binary.LittleEndian.AppendUint64(b, t.Hash)
	if good {
		b = append(b, 1)
	}
	return xxhash.Sum64(b)
}

// add keeps a loss unless answers explain it, and reports whether it is news.
func (q *Quarantine) add(now time.Time, l crashevidence.Loss) bool {
	y := newLoss(now, l)
	if x := q.losses[l.ID]; x != nil {
		x.update(y)
		q.order(x)
		return false
	}
	y.Traits = q.openTraits(y)
	if _, ok := q.settled.last(l.ID); ok || len(y.Traits) == 0 {
		return false
	}
	q.expire(now)
	for len(q.losses) >= maxLosses || q.traits+len(y.Traits) > maxKeptTraits && len(q.losses) > 0 {
		q.drop(q.leastUseful())
	}
	q.losses[l.ID] = y
	q.traits += len(y.Traits)
	for _, t := range y.Traits {
		q.byTrait[t] = append(q.byTrait[t], y)
		if len(q.byTrait[t]) > maxLossesOfTrait {
			q.strip(slices.MinFunc(q.byTrait[t], byAge), t)
		}
	}
	q.order(y)
	return q.losses[l.ID] != nil
}

// order corrects the times of losses that are known to follow each other: news of them may have taken longer than the time
// between an end and the next attempt.
func (q *Quarantine) order(x *loss) {
	for _, y := range q.losses {
		if y.After == x.ID {
			q.orderFormer(y)
		}
	}
	q.orderFormer(x)
}

// orderFormer moves the losses that came before x was sent to before that time.
func (q *Quarantine) orderFormer(x *loss) {
	for range maxLossesOfTrait {
		f := q.losses[x.After]
		if f == nil || f.at.Before(x.sent) {
			return
		}
		d := f.at.Sub(x.sent) + 1
		f.at, f.sent = f.at.Add(-d), f.sent.Add(-d)
		x = f
	}
}

// openTraits returns those traits of a loss, in order, that no later answer explains.
func (q *Quarantine) openTraits(l *loss) []crashevidence.Trait {
	t := slices.DeleteFunc(slices.Clone(l.Traits), func(t crashevidence.Trait) bool { return q.answeredSince(l, t) })
	slices.SortFunc(t, compare)
	return slices.Compact(t)
}

// byAge orders losses, the oldest first.
func byAge(a, b *loss) int {
	return cmp.Or(a.at.Compare(b.at), cmp.Compare(a.ID, b.ID))
}

func (q *Quarantine) drop(x *loss) {
	for _, t := range x.Traits {
		q.strip(x, t)
	}
}

// strip takes a trait out of a loss, and forgets a loss without any.
func (q *Quarantine) strip(x *loss, t crashevidence.Trait) {
	x.Traits = slices.DeleteFunc(slices.Clone(x.Traits), func(o crashevidence.Trait) bool { return o == t })
	q.byTrait[t] = slices.DeleteFunc(q.byTrait[t], func(y *loss) bool { return y == x })
	q.traits--
	if len(q.byTrait[t]) == 0 {
		delete(q.byTrait, t)
	}
	if len(x.Traits) == 0 {
		delete(q.losses, x.ID)
	}
}

// expire forgets losses that no longer count.
func (q *Quarantine) expire(now time.Time) {
	if now.Sub(q.expired) < expiryInterval {
		return
	}
	q.expired = now
	n := len(q.losses)
	for _, x := range q.losses {
		if now.Sub(x.at) >= hold && now.Sub(x.used) >= hold {
			q.drop(x)
		}
	}
	if len(q.losses) < n {
		q.judge()
	}
}

// leastUseful returns the oldest loss, one without a quarantined trait if there is any.
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
	if x, y := q.quarantined(a), q.quarantined(b); x != y {
		return !x
	}
	return byAge(a, b) < 0
}
