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
