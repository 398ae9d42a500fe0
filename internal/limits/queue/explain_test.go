package queue

import (
	"math/rand/v2"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/queuestate"
	"siskinrun/internal/limits/slotrequest"
	"siskinrun/pkg/refusal"
)

// TestExplainNamesWhatAcquireDoesAndChangesNothing guards against an explanation that counts as a request, or that follows other
// rules: the explained queue decides like one that is not, and as it was told.
func TestExplainNamesWhatAcquireDoesAndChangesNothing(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		r := rand.New(rand.NewPCG(seed, 3))
		s := timer.NewService()
		plain, explained := &Queue{Timer: s, MaxPerTeam: 4}, &Queue{Timer: s, MaxPerTeam: 4}
		for _, q := range []*Queue{plain, explained} {
			q.ShareSlots(4, 1, 2)
			q.serviceTime.add(200*time.Millisecond, 1)
		}
		seen := map[string]int{}
		now := s.Now()
		for range 300 {
			q := slotrequest.Request{
				Team: "t" + strconv.Itoa(r.IntN(5)), Weight: 1, Cost: 1 + r.Int64N(3), Rank: r.IntN(3),
				Latest: now.Add(time.Duration(r.IntN(2000)) * time.Millisecond),
			}
			q.Deadline = q.Latest
			told := explained.explain(now, q)
			is.Equal(explained.explain(now, q).Outcome, told.Outcome)
			_, a := plain.enqueue(now, q)
			busy := explained.busy
			_, b := explained.enqueue(now, q)
			is.Equal(a == nil, b == nil)
			switch {
			case b != nil:
				is.Equal(told.Outcome, refusal.Of(b).Code)
			case explained.busy > busy:
				is.Equal(told.Outcome, queuestate.Starts)
			default:
				is.Equal(told.Outcome, queuestate.Waits)
			}
			seen[told.Outcome]++
			now = now.Add(time.Duration(r.IntN(60)) * time.Millisecond)
			if r.IntN(4) == 0 && explained.busy > 0 {
				for _, k := range []*Queue{plain, explained} {
					k.busy--
					k.dispatch(now)
				}
			}
			for i, c := range explained.classes {
				is.Equal(c.recent, plain.classes[i].recent)
				is.Equal(c.arrivals.n, plain.classes[i].arrivals.n)
				is.Equal(c.waiting.Len(), plain.classes[i].waiting.Len())
			}
		}
		is.Equal(len(seen), 3) // all three outcomes were met
	}
}
