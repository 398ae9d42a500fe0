package quarantine_test

import (
	"cmp"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

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

func TestBlocks(t *testing.T) {
	for _, c := range []struct {
		name    string
		events  []event
		blocked [][]trait
		passed  [][]trait
	}{
		{
			"one part beside good ones, in any place",
			[]event{
				began(0, caller, topic), lost(soon, 1, caller, deadly, topic), lost(soon, 2, caller, topic, deadly),
				lost(soon, 3, deadly, caller),
			},
			[][]trait{{deadly}, {caller, deadly}, {topic, deadly, other}},
			[][]trait{{caller, topic}, {caller}, {other}, nil},
		},
		{
			"two calls are not enough",
			[]event{lost(0, 1, deadly), lost(soon, 2, deadly)},
			nil,
			[][]trait{{deadly}},
		},
		{
			"calls lost with one upstream count once",
			[]event{lost(0, 1, deadly), lost(soon, 1, deadly, other), lost(soon, 1, deadly, topic)},
			nil,
			[][]trait{{deadly}},
		},
		{
			"two parts at once",
			[]event{
				began(0, caller), lost(soon, 1, caller, deadly), lost(soon, 2, caller, deadlier), lost(soon, 3, deadly, caller),
				lost(soon, 4, deadlier), lost(soon, 5, deadlier), lost(soon, 6, deadly),
			},
			[][]trait{{deadly, caller}, {deadlier}},
			[][]trait{{caller}},
		},
		{
			"an answer that has begun speaks for its parts",
			[]event{lost(0, 1, topic), lost(soon, 2, topic), began(soon, topic), lost(soon, 3, topic)},
			nil,
			[][]trait{{topic}},
		},
		{
			"a sound part that always came with the deadly one",
			[]event{lost(0, 1, topic, deadly), lost(soon, 2, topic, deadly), lost(soon, 3, topic, deadly)},
			[][]trait{{topic, deadly}},
			[][]trait{{topic}, {topic, caller}},
		},
		{
			"the deadly part once the other was answered",
			[]event{lost(0, 1, topic, deadly), lost(soon, 2, topic, deadly), lost(soon, 3, topic, deadly), began(soon, topic, caller)},
			[][]trait{{topic, deadly}, {deadly}, {deadly, other}},
			[][]trait{{topic}},
		},
		{
			"a rare part of a quarantined prompt",
			[]event{
				began(0, caller, topic), lost(later, 1, topic, deadly), lost(later, 2, topic, deadly), lost(later, 3, topic, deadly),
				lost(later, 4, topic, deadly), lost(later, 5, topic, deadly), lost(later, 6, topic, deadly),
			},
			[][]trait{{deadly}, {topic, deadly}},
			[][]trait{{topic}, {caller, topic}},
		},
		{
			"a part that was good and turns deadly",
			[]event{
				began(0, deadly), lost(later, 1, deadly, session(0)), lost(soon, 2, deadly, session(1)),
				lost(soon, 3, deadly, session(2)), lost(soon, 4, deadly, session(3)), lost(soon, 5, deadly, session(4)),
			},
			[][]trait{{deadly}},
			[][]trait{{session(0)}},
		},
		{
			"upstreams killed in groups, again and again",
			[]event{
				killed(0, 1, topic), killed(soon, 2, topic), killed(soon, 3, topic), killed(soon, 4, topic),
				killed(later, 5, topic), killed(soon, 6, topic), killed(soon, 7, topic),
			},
			nil,
			[][]trait{{topic}},
		},
		{
			"a popular part while upstreams end",
			[]event{
				began(0, caller), killed(soon, 1, caller), began(soon, caller), killed(later, 2, caller), began(soon, caller),
				killed(later, 3, caller), began(soon, caller), killed(later, 4, caller), began(soon, caller),
			},
			nil,
			[][]trait{{caller}},
		},
		{
			"upstreams that end before the headers of their answers, one by one",
			[]event{killed(0, 1, deadly), killed(later, 2, deadly), killed(later, 3, deadly)},
			[][]trait{{deadly}},
			[][]trait{{caller}},
		},
		{
			"one request from upstream to upstream",
			[]event{crashed(0, 1, request), crashed(step+1, 2, request), crashed(step+1, 3, request)},
			[][]trait{{request}, {request, caller}},
			[][]trait{{page}, {caller}},
		},
		{
			"one request at three upstreams at once, then one after the other",
			[]event{
				crashed(0, 1, request), crashed(5*time.Millisecond, 2, request), crashed(5*time.Millisecond, 3, request),
				crashed(step+1, 4, request),
			},
			nil,
			[][]trait{{request}},
		},
		{
			"one more",
			[]event{
				crashed(0, 1, request), crashed(5*time.Millisecond, 2, request), crashed(5*time.Millisecond, 3, request),
				crashed(step+1, 4, request), crashed(step+1, 5, request),
			},
			[][]trait{{request}},
			nil,
		},
		{
			"upstreams that end at once after the headers",
			[]event{cut(0, 1, deadly), cut(0, 2, deadly), cut(0, 3, deadly)},
			[][]trait{{deadly}},
			[][]trait{{caller}},
		},
		{
			"the same under a part that was answered before",
			[]event{
				began(0, caller), cut(later, 1, caller), cut(0, 2, caller), cut(0, 3, caller), cut(0, 4, caller), cut(0, 5, caller),
				cut(0, 6, caller),
			},
			nil,
			[][]trait{{caller}},
		},
		{
			"a page that everybody polls while groups of upstreams are killed",
			[]event{
				began(0, page), killed(later, 1, page), killed(soon, 2, page), killed(soon, 3, page), began(soon, page),
				killed(later, 4, page), killed(soon, 5, page), killed(soon, 6, page), began(soon, page),
				killed(later, 7, page), killed(soon, 8, page), killed(soon, 9, page),
			},
			nil,
			[][]trait{{page}},
		},
		{
			"a request that turned ill with a release",
			[]event{
				began(0, request), crashed(later, 1, request), crashed(later, 2, request), crashed(later, 3, request),
				crashed(later, 4, request),
			},
			[][]trait{{request}},
			nil,
		},
		{
			"a request that was answered a moment before it turned ill",
			[]event{
				began(0, request), crashed(step+1, 1, request), crashed(step+1, 2, request), crashed(step+1, 3, request),
				crashed(step+1, 4, request),
			},
			[][]trait{{request}},
			nil,
		},
		{
			"a request that is fine again after the next",
			[]event{
				crashed(0, 1, request), crashed(later, 2, request), crashed(later, 3, request), began(time.Minute, request),
				crashed(later, 4, request), crashed(later, 5, request), crashed(later, 6, request),
			},
			nil,
			[][]trait{{request}},
		},
		{
			"the same prompt again and again",
			[]event{lost(0, 1, topic, request), lost(soon, 2, topic, request), lost(soon, 3, topic, request)},
			[][]trait{{topic, request}},
			[][]trait{{topic}, {request}, {topic, page}},
		},
		{
			"again after minutes",
			[]event{lost(0, 1, deadly), lost(10*time.Minute, 2, deadly), lost(10*time.Minute, 3, deadly), began(15*time.Minute, caller)},
			[][]trait{{deadly}},
			nil,
		},
		{
			"forgotten after hours",
			[]event{lost(0, 1, deadly), lost(soon, 2, deadly), lost(soon, 3, deadly), lost(2*time.Hour, 4, other)},
			nil,
			[][]trait{{deadly}},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q, now := play(c.events)
			for _, p := range c.blocked {
				is.True(q.Blocks(now, p))
			}
			for _, p := range c.passed {
				is.True(!q.Blocks(now, p))
			}
		})
	}
}

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

func TestEvidenceOfSeveralHostsCountsTogether(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var e crashevidence.Evidence
	for u := range uint64(3) {
		h := quarantine.NewQuarantine()
		l, ok := h.Lost(now, now.Add(-usualTime), u, []trait{caller, deadly}, true)
		is.True(ok)
		l.Age = time.Second
		e.Losses = append(e.Losses, l, l)
	}
	q := quarantine.NewQuarantine()
	q.Began(now.Add(-time.Minute), []trait{caller})
	g, _ := q.Merge(now, e)
	is.Equal(len(g), 1)
	is.Equal(g[0].Trait, caller)
	is.True(q.Blocks(now, []trait{deadly}))
	is.True(!q.Blocks(now, []trait{caller}))

	late := quarantine.NewQuarantine()
	late.Merge(now, crashevidence.Evidence{Losses: q.Losses(now), Good: q.KnownGood(now, q.Losses(now))})
	is.Equal(late.Fingerprint(), q.Fingerprint())
	is.True(late.Blocks(now, []trait{deadly, other}))
	is.True(!late.Blocks(now, []trait{caller, other}))
}

func TestMemoryIsBounded(t *testing.T) {
	is := is.New(t)
	q := quarantine.NewQuarantine()
	now := time.Unix(1000, 0)
	for u := range uint64(3) {
		q.Lost(now, now, u, []trait{deadly}, true)
	}
	many := make([]trait, 1000)
	for i := range many {
		many[i] = trait{Hash: uint64(1_000_000 + i)}
	}
	for u := range uint64(2000) {
		now = now.Add(time.Millisecond)
		q.Lost(now, now, 10+u, []trait{{Hash: 10_000 + u}, {Hash: u, Request: true}}, true)
		q.Began(now, []trait{{Hash: 100_000 + u}, {Hash: 200_000 + u}, {Hash: 300_000 + u}})
	}
	l, _ := q.Lost(now, now, 1, many, true)
	is.Equal(len(l.Traits), 256)
	is.Equal(len(q.Losses(now)), 1024)
	is.True(q.Blocks(now, []trait{deadly}))
	for u := range uint64(300) {
		distinct := make([]trait, 256)
		for i := range distinct {
			distinct[i] = trait{Hash: 2_000_000 + 256*u + uint64(i)}
		}
		q.Lost(now, now, 10_000+u, distinct, true)
	}
	n := 0
	for _, l := range q.Losses(now) {
		n += len(l.Traits)
	}
	is.True(n <= 1<<16)
	is.True(q.Blocks(now, []trait{deadly}))
}

// TestFloodOfRequestsPushesNothingOut guards against a team whose many distinct requests make the fleet forget what others did.
func TestFloodOfRequestsPushesNothingOut(t *testing.T) {
	is := is.New(t)
	q := quarantine.NewQuarantine()
	now := time.Unix(1000, 0)
	q.Began(now, []trait{caller})
	for u := range uint64(3) {
		q.Lost(now, now, u, []trait{request}, true)
	}
	for u := range uint64(200_000) {
		q.Began(now.Add(later), []trait{{Hash: 100 + u, Request: true}})
	}
	now = now.Add(2 * later)
	for u := range uint64(3) {
		q.Lost(now, now, u, []trait{caller}, true)
	}
	is.True(!q.Blocks(now, []trait{caller})) // the part is still known as good
	is.True(q.Blocks(now, []trait{request}))
}

func TestQuarantinedTraitIsTriedAgainMoreAndMoreSeldom(t *testing.T) {
	is := is.New(t)
	q := quarantine.NewQuarantine()
	now := time.Unix(1000, 0)
	for u := range uint64(3) {
		now = now.Add(step + 1)
		q.Lost(now, now.Add(-step), u, []trait{request}, false)
	}
	for i, wait := range []time.Duration{time.Minute, 10 * time.Minute, time.Hour, time.Hour, time.Hour} {
		is.True(q.Blocks(now.Add(wait-time.Second), []trait{request}))
		now = now.Add(wait)
		is.True(!q.Blocks(now, []trait{request}))
		s, ok := q.Suspect([]trait{request})
		is.True(ok)
		is.Equal(s, request)
		is.True(q.Holds([]trait{request}))
		q.Lost(now, now.Add(-step), uint64(100+i), []trait{request}, false)
		is.True(q.Blocks(now, []trait{request}))
	}
	now = now.Add(time.Hour)
	is.Equal(q.Began(now, []trait{request}), []trait{request})
	is.True(!q.Holds([]trait{request}))
	_, ok := q.Suspect([]trait{request})
	is.True(!ok)
}

func TestSuspect(t *testing.T) {
	for _, c := range []struct {
		name   string
		events []event
		call   []trait
		want   trait
	}{
		{"no evidence", nil, []trait{caller, request}, trait{}},
		{"one end", []event{crashed(0, 1, request)}, []trait{request}, request},
		{"an answer elsewhere", []event{crashed(0, 1, request), began(soon, request)}, []trait{request}, trait{}},
		{"another request", []event{crashed(0, 1, request)}, []trait{page}, trait{}},
		{"parts go first", []event{crashed(0, 1, deadly, request)}, []trait{request, deadly}, deadly},
		{"then the lower number", []event{crashed(0, 1, deadly, deadlier)}, []trait{deadlier, deadly}, deadly},
		{"most ends first", []event{crashed(0, 1, deadly, request), crashed(later, 2, other, request)}, []trait{deadly, request}, request},
		{"a request answered a moment before", []event{began(0, page), crashed(soon, 1, page)}, []trait{page}, page},
		{"a part answered a moment before", []event{began(0, topic), crashed(soon, 1, topic)}, []trait{topic}, trait{}},
		{"the second end under it", []event{began(0, topic), crashed(soon, 1, topic), crashed(step+1, 2, topic)}, []trait{topic}, topic},
		{"a part answered long before", []event{began(0, topic), crashed(later, 1, topic)}, []trait{topic}, topic},
		{
			"a part of calls lost with a quarantined one",
			[]event{lost(0, 1, deadly, topic), lost(soon, 2, deadly), lost(soon, 3, deadly)},
			[]trait{topic},
			trait{},
		},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			q, _ := play(c.events)
			s, ok := q.Suspect(c.call)
			is.Equal(s, c.want)
			is.Equal(ok, c.want != trait{})
		})
	}
}

// TestHostsThatLearnInAnyOrderAgree guards against hosts that count ends by when the news of them came.
func TestHostsThatLearnInAnyOrderAgree(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	q, n := play([]event{crashed(0, 1, request), crashed(step+1, 2, request), crashed(step+1, 3, request)})
	l := q.Losses(n)
	for i := range l {
		h := quarantine.NewQuarantine()
		h.Merge(now, crashevidence.Evidence{Losses: append(append([]crashevidence.Loss{}, l[i:]...), l[:i]...)})
		is.True(h.Blocks(now, []trait{request}))
		is.Equal(h.Fingerprint(), q.Fingerprint())
		for range 100 {
			h.Merge(now, crashevidence.Evidence{Losses: h.Losses(now.Add(50 * time.Millisecond))})
		}
		is.True(h.Blocks(now, []trait{request}))
	}
}

// TestDelayedNewsCountsAllTheSame guards against hosts that count fewer ends since the news of an end took longer than the next
// attempt.
func TestDelayedNewsCountsAllTheSame(t *testing.T) {
	is := is.New(t)
	q, n := play([]event{crashed(0, 1, request), crashed(step+1, 2, request), crashed(step+1, 3, request)})
	l := q.Losses(n)
	slices.SortFunc(l, func(a, b crashevidence.Loss) int { return cmp.Compare(b.Age, a.Age) })
	delays := []time.Duration{0, time.Millisecond, 30 * time.Millisecond, time.Second, time.Minute}
	for _, a := range delays {
		for _, b := range delays {
			for _, order := range [][]int{{0, 1, 2}, {2, 1, 0}, {1, 2, 0}, {2, 0, 1}} {
				h := quarantine.NewQuarantine()
				for _, i := range order {
					x := l[i]
					x.Age += time.Minute - []time.Duration{a, b, 0}[i]
					h.Merge(n, crashevidence.Evidence{Losses: []crashevidence.Loss{x}})
				}
				is.True(h.Holds([]trait{request}))
				is.Equal(h.Ends(request), 3)
			}
		}
	}
}

// TestAnswerExplainsALossWhateverOthersTakeForItsTime guards against hosts that tell each other of an explained loss for good,
// since the news of it took longer than that of the answer.
func TestAnswerExplainsALossWhateverOthersTakeForItsTime(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	x, y := quarantine.NewQuarantine(), quarantine.NewQuarantine()
	for u, traits := range [][]trait{{caller, request}, {caller, page}} {
		l, _ := x.Lost(now, now.Add(-step), uint64(u), traits, false)
		y.Merge(now.Add(soon), crashevidence.Evidence{Losses: []crashevidence.Loss{l}}) // late
	}
	now = now.Add(time.Millisecond)
	is.Equal(len(x.Began(now, []trait{caller, request})), 2)
	y.Learn(now, []crashevidence.Good{{Trait: caller}, {Trait: request}})
	is.True(x.Fingerprint() != y.Fingerprint())
	now = now.Add(time.Second)
	told := y.Losses(now)
	better, news := x.Merge(now, crashevidence.Evidence{Losses: told})
	is.True(!news)
	y.Learn(now, better)
	is.Equal(x.Fingerprint(), y.Fingerprint())
	is.Equal(y.Size(), 1)
}

func BenchmarkBegan(b *testing.B) {
	q := quarantine.NewQuarantine()
	now := time.Unix(1000, 0)
	n := uint64(0)
	for b.Loop() {
		n++
		q.Began(now, []trait{caller, topic, {Hash: n}, {Hash: n, Request: true}})
	}
}
