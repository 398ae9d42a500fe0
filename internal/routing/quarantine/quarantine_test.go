package quarantine_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/routing/quarantine"
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
