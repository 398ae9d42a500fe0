package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/crashevidence"
	"siskinrun/internal/routing/quarantine"
)

// Parts of prompts.
const (
	caller uint64 = iota + 1
	topic
	other
	deadly
	deadlier
	firstSession
)

// event is one thing that a host sees, after a pause.
type event struct {
	pause     time.Duration
	began     []uint64
	lost      []uint64
	upstream  uint64
	answering bool
}

func lost(pause time.Duration, upstream uint64, parts ...uint64) event {
	return event{pause: pause, lost: parts, upstream: upstream, answering: true}
}

func killed(pause time.Duration, upstream uint64, parts ...uint64) event {
	return event{pause: pause, lost: parts, upstream: upstream}
}

func began(pause time.Duration, parts ...uint64) event {
	return event{pause: pause, began: parts}
}

const (
	soon  = 20 * time.Millisecond
	later = 3 * time.Second
)

func TestBlocks(t *testing.T) {
	for _, c := range []struct {
		name    string
		events  []event
		blocked [][]uint64
		passed  [][]uint64
	}{
		{
			"one part beside good ones, in any place",
			[]event{
				began(0, caller, topic), lost(soon, 1, caller, deadly, topic), lost(soon, 2, caller, topic, deadly),
				lost(soon, 3, deadly, caller),
			},
			[][]uint64{{deadly}, {caller, deadly}, {topic, deadly, other}},
			[][]uint64{{caller, topic}, {caller}, {other}, nil},
		},
		{
			"two calls are not enough",
			[]event{lost(0, 1, deadly), lost(soon, 2, deadly)},
			nil,
			[][]uint64{{deadly}},
		},
		{
			"calls lost with one upstream count once",
			[]event{lost(0, 1, deadly), lost(soon, 1, deadly, other), lost(soon, 1, deadly, topic)},
			nil,
			[][]uint64{{deadly}},
		},
		{
			"two parts at once",
			[]event{
				began(0, caller), lost(soon, 1, caller, deadly), lost(soon, 2, caller, deadlier), lost(soon, 3, deadly, caller),
				lost(soon, 4, deadlier), lost(soon, 5, deadlier), lost(soon, 6, deadly),
			},
			[][]uint64{{deadly, caller}, {deadlier}},
			[][]uint64{{caller}},
		},
		{
			"an answer that has begun speaks for its parts",
			[]event{lost(0, 1, topic), lost(soon, 2, topic), began(soon, topic), lost(soon, 3, topic)},
			nil,
			[][]uint64{{topic}},
		},
		{
			"a sound part that always came with the deadly one",
			[]event{lost(0, 1, topic, deadly), lost(soon, 2, topic, deadly), lost(soon, 3, topic, deadly)},
			[][]uint64{{topic, deadly}},
			[][]uint64{{topic}, {topic, caller}},
		},
		{
			"the deadly part once the other was answered",
			[]event{lost(0, 1, topic, deadly), lost(soon, 2, topic, deadly), lost(soon, 3, topic, deadly), began(soon, topic, caller)},
			[][]uint64{{topic, deadly}, {deadly}, {deadly, other}},
			[][]uint64{{topic}},
		},
		{
			"a rare part of a quarantined prompt",
			[]event{
				began(0, caller, topic), lost(later, 1, topic, deadly), lost(later, 2, topic, deadly), lost(later, 3, topic, deadly),
				lost(later, 4, topic, deadly), lost(later, 5, topic, deadly), lost(later, 6, topic, deadly),
			},
			[][]uint64{{deadly}, {topic, deadly}},
			[][]uint64{{topic}, {caller, topic}},
		},
		{
			"a part that was good and turns deadly",
			[]event{
				began(0, deadly), lost(later, 1, deadly, firstSession), lost(soon, 2, deadly, firstSession+1),
				lost(soon, 3, deadly, firstSession+2), lost(soon, 4, deadly, firstSession+3), lost(soon, 5, deadly, firstSession+4),
			},
			[][]uint64{{deadly}},
			[][]uint64{{firstSession}},
		},
		{
			"upstreams killed in groups, again and again",
			[]event{
				killed(0, 1, topic), killed(soon, 2, topic), killed(soon, 3, topic), killed(soon, 4, topic),
				killed(later, 5, topic), killed(soon, 6, topic), killed(soon, 7, topic),
			},
			nil,
			[][]uint64{{topic}},
		},
		{
			"a popular part while upstreams end",
			[]event{
				began(0, caller), killed(soon, 1, caller), began(soon, caller), killed(later, 2, caller), began(soon, caller),
				killed(later, 3, caller), began(soon, caller), killed(later, 4, caller), began(soon, caller),
			},
			nil,
			[][]uint64{{caller}},
		},
		{
			"upstreams that end before the headers of their answers, one by one",
			[]event{killed(0, 1, deadly), killed(later, 2, deadly), killed(later, 3, deadly)},
			[][]uint64{{deadly}},
			[][]uint64{{caller}},
		},
		{
			"again after minutes",
			[]event{lost(0, 1, deadly), lost(10*time.Minute, 2, deadly), lost(10*time.Minute, 3, deadly), began(15*time.Minute, caller)},
			[][]uint64{{deadly}},
			nil,
		},
		{
			"forgotten after hours",
			[]event{lost(0, 1, deadly), lost(soon, 2, deadly), lost(soon, 3, deadly), lost(2*time.Hour, 4, other)},
			nil,
			[][]uint64{{deadly}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q := quarantine.NewQuarantine()
			now := time.Unix(1000, 0)
			for _, e := range c.events {
				now = now.Add(e.pause)
				if e.lost != nil {
					q.Lost(now, e.upstream, e.lost, e.answering)
					continue
				}
				q.Began(now, e.began)
			}
			for _, p := range c.blocked {
				is.True(q.Blocks(now, p))
			}
			for _, p := range c.passed {
				is.True(!q.Blocks(now, p))
			}
		})
	}
}

func TestEvidenceOfSeveralHostsCountsTogether(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var e crashevidence.Evidence
	for u := range uint64(3) {
		h := quarantine.NewQuarantine()
		l, ok := h.Lost(now, u, []uint64{caller, deadly}, true)
		is.True(ok)
		l.Age = time.Second
		e.Losses = append(e.Losses, l, l)
	}
	q := quarantine.NewQuarantine()
	q.Began(now.Add(-time.Minute), []uint64{caller})
	g := q.Merge(now, e)
	is.Equal(len(g), 1)
	is.Equal(g[0].Part, caller)
	is.True(q.Blocks(now, []uint64{deadly}))
	is.True(!q.Blocks(now, []uint64{caller}))

	late := quarantine.NewQuarantine()
	late.Merge(now, crashevidence.Evidence{Losses: q.Losses(now), Good: q.KnownGood(now, q.Losses(now))})
	is.Equal(late.Fingerprint(), q.Fingerprint())
	is.True(late.Blocks(now, []uint64{deadly, other}))
	is.True(!late.Blocks(now, []uint64{caller, other}))
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	q := quarantine.NewQuarantine()
	now := time.Unix(1000, 0)
	for u := range uint64(3) {
		q.Lost(now, u, []uint64{deadly}, true)
	}
	many := make([]uint64, 1000)
	for i := range many {
		many[i] = uint64(1_000_000 + i)
	}
	for u := range uint64(2000) {
		now = now.Add(time.Millisecond)
		q.Lost(now, 10+u, []uint64{10_000 + u}, true)
		q.Began(now, []uint64{100_000 + u, 200_000 + u, 300_000 + u})
	}
	l, _ := q.Lost(now, 1, many, true)
	is.Equal(len(l.Parts), 256)
	is.Equal(len(q.Losses(now)), 256)
	is.True(q.Blocks(now, []uint64{deadly}))
}

func BenchmarkBegan(b *testing.B) {
	q := quarantine.NewQuarantine()
	now := time.Unix(1000, 0)
	n := uint64(0)
	for b.Loop() {
		n++
		q.Began(now, []uint64{caller, topic, n})
	}
}
