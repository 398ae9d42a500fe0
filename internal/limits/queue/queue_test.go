package queue

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/group"
	"siskinrun/internal/base/timer"
	"siskinrun/pkg/refusal"
	"siskinrun/pkg/verdict"
)

const (
	teams    = 10
	slots    = 32
	meanHold = 200 * time.Millisecond
	maxWait  = time.Second
	span     = 10 * time.Minute
)

// arrival is one request of a trace.
type arrival struct {
	at      time.Time
	team    int
	hold    time.Duration
	waiter  *waiter
	entered time.Time
}

// newTrace returns the arrivals of all teams in order of time. Each team offers 8 % of the capacity of the slots;
// the first offers that times the factor.
func newTrace(seed uint64, factor float64) []arrival {
	var l []arrival
	for k := range teams {
		r := rand.New(rand.NewPCG(seed, uint64(k)))
		rate := 0.08 * slots / meanHold.Seconds()
		if k == 0 {
			rate *= factor
		}
		t := time.Unix(0, 0)
		for {
			t = t.Add(time.Duration(r.ExpFloat64() / rate * float64(time.Second)))
			if t.Sub(time.Unix(0, 0)) > span {
				break
			}
			h := time.Duration(r.ExpFloat64() * float64(meanHold))
			l = append(l, arrival{at: t, team: k, hold: h})
		}
	}
	slices.SortFunc(l, func(a, b arrival) int { return a.at.Compare(b.at) })
	return l
}

// replay runs a trace through a queue and returns each team's 99th percentile of latency and its refusals.
func replay(l []arrival, name func(int) string) (tail [teams]time.Duration, refused [teams]int) {
	m := timer.NewManual(time.Unix(0, 0))
	q := &Queue{Timer: m}
	q.SetSlots(slots)
	var waiting, running []arrival
	var took [teams][]time.Duration
	collect := func() {
		waiting = slices.DeleteFunc(waiting, func(a arrival) bool {
			select {
			case err := <-a.waiter.done:
				if err != nil {
					refused[a.team]++
					return true
				}
				a.entered = m.Now()
				took[a.team] = append(took[a.team], a.entered.Sub(a.at)+a.hold)
				running = append(running, a)
				return true
			default:
				return false
			}
		})
	}
	for len(l) > 0 {
		next := l[0].at
		i := -1
		for j, a := range running {
			if e := a.entered.Add(a.hold); !e.After(next) {
				next, i = e, j
			}
		}
		m.Advance(next.Sub(m.Now()))
		collect()
		if i >= 0 {
			a := running[i]
			running = slices.Delete(running, i, i+1)
			q.release(a.entered, 1)
			collect()
			continue
		}
		a := l[0]
		l = l[1:]
		e, err := q.enqueue(next, name(a.team), 1, 1, next.Add(maxWait))
		if err != nil {
			refused[a.team]++
			continue
		}
		a.waiter = e
		waiting = append(waiting, a)
		collect()
	}
	for k, d := range took {
		slices.Sort(d)
		tail[k] = d[len(d)*99/100]
	}
	return tail, refused
}

// worstRatio compares runs with the first team at its usual rate and at eight times that. It returns the largest
// ratio of another team's 99th percentiles, and the refusals of the other teams in both runs.
func worstRatio(seed uint64, name func(int) string) (ratio float64, before, after int) {
	a, x := replay(newTrace(seed, 1), name)
	b, y := replay(newTrace(seed, 8), name)
	for k := 1; k < teams; k++ {
		ratio = max(ratio, float64(b[k])/float64(a[k]))
		before += x[k]
		after += y[k]
	}
	return ratio, before, after
}

func TestOneTeamAtEightTimesItsRateDelaysOnlyItself(t *testing.T) {
	for seed := range uint64(5) {
		t.Run(fmt.Sprint("seed-", seed), func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			r, before, after := worstRatio(seed, func(k int) string { return fmt.Sprint(k) })
			t.Logf("worst ratio %.3f, refused %d and %d", r, before, after)
			is.True(r <= 1.2)
			is.Equal(after, before)
		})
	}
}

func TestWithoutTeamsTheTailLatencyOfOthersGrows(t *testing.T) {
	r, before, after := worstRatio(1, func(int) string { return "all" })
	t.Logf("worst ratio %.3f, refused %d and %d", r, before, after)
	is.New(t).True(r > 1.2 || after > before)
}

func TestRequestsThatCannotStartInTimeAreRefusedAtOnce(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual(time.Unix(0, 0))
	q := &Queue{Timer: m}
	q.SetSlots(1)
	in := func(d time.Duration) time.Time { return m.Now().Add(d) }
	leave, err := q.Acquire(context.Background(), "kea", 1, 1, in(time.Second))
	is.NoErr(err)
	m.Advance(time.Second)
	leave()
	leave()
	is.Equal(q.Busy(), 0)
	_, err = q.Acquire(context.Background(), "kea", 1, 1, in(time.Second))
	is.NoErr(err)
	_, err = q.enqueue(m.Now(), "tui", 1, 1, in(10*time.Second))
	is.NoErr(err)
	// A request that takes a second waits, so the next one cannot start within half a second.
	_, err = q.enqueue(m.Now(), "tui", 1, 1, in(500*time.Millisecond))
	r := refusal.Of(err)
	is.Equal(r.Code, "overloaded")
	is.Equal(r.Verdict, verdict.NotRun)
	is.True(r.RetryAfter >= 500*time.Millisecond)
}

func TestWaitingRequestsAreRefusedWhenSlotsAreRemoved(t *testing.T) {
	is := is.New(t)
	m := timer.NewManual(time.Unix(0, 0))
	q := &Queue{Timer: m}
	q.SetSlots(1)
	_, err := q.enqueue(m.Now(), "kea", 1, 1, m.Now().Add(time.Second))
	is.NoErr(err)
	e, err := q.enqueue(m.Now(), "kea", 1, 1, m.Now().Add(time.Second))
	is.NoErr(err)
	q.SetSlots(0)
	m.Advance(expiryInterval)
	is.Equal(len(e.done), 1)
	is.Equal(refusal.Of(<-e.done).Code, "overloaded")
}

func TestCanceledCallersLeaveNoSlotTaken(t *testing.T) {
	is := is.New(t)
	q := &Queue{Timer: timer.NewService()}
	q.SetSlots(2)
	g := group.NewGroup(context.Background())
	for i := range 50 {
		g.Go("caller", func(ctx context.Context) error {
			c, cancel := context.WithCancel(ctx)
			defer cancel()
			if i%3 == 0 {
				cancel()
			}
			leave, err := q.Acquire(c, fmt.Sprint(i%5), 1, 1, q.Timer.Now().Add(time.Minute))
			if err == nil {
				leave()
			}
			return nil
		})
	}
	is.NoErr(g.Wait())
	is.Equal(q.Busy(), 0)
	is.Equal(q.Len(), 0)
}

func BenchmarkEnterAndLeave(b *testing.B) {
	q := &Queue{Timer: timer.NewService()}
	q.SetSlots(slots)
	d := q.Timer.Now().Add(time.Hour)
	for b.Loop() {
		leave, err := q.Acquire(context.Background(), "kea", 1, 1, d)
		if err != nil {
			b.Fatal(err)
		}
		leave()
	}
}

// outcome counts callers by what became of them. Those that are refused come back once.
type outcome struct {
	// served counts those that started at all, inTime those that did within the target, counted from their last try.
	served, inTime int
	// back counts those that came back, and backInTime those of them that started within the target then.
	back, backInTime int
}

// serveOverload offers twice the capacity of the slots for five seconds.
func serveOverload(wait time.Duration) outcome {
	return serveLoad(wait, 0, 5, func(float64) float64 { return 2 })
}

// serveBursts offers half of the capacity of the slots and, in bursts of 2.4 s, one and a half times that. Refused callers
// come back after a given time at least.
func serveBursts(wait, least time.Duration) outcome {
	const cycle, quiet = 5.8, 3.4
	return serveLoad(wait, least, 40*cycle, func(t float64) float64 {
		if math.Mod(t, cycle) < quiet {
			return 0.5
		}
		return 1.5
	})
}

// serveLoad offers a multiple of the capacity of the slots, which may change, for a number of seconds.
func serveLoad(wait, least time.Duration, seconds float64, load func(t float64) float64) (o outcome) {
	const hold, target, patience = 750 * time.Millisecond, 200 * time.Millisecond, 5 * time.Second
	m := timer.NewManual(time.Unix(0, 0))
	q := &Queue{Timer: m, MaxPerTeam: DefaultMaxWaiting}
	q.SetSlots(slots)
	q.SetMinRetryAfter(least)
	type caller struct {
		at      time.Time
		retried bool
		e       *waiter
	}
	var waiting []*caller
	var try func(c *caller)
	refuse := func(c *caller, err error) {
		if c.retried {
			return
		}
		m.After(refusal.Of(err).RetryAfter, func(now time.Time) { try(&caller{at: now, retried: true}) })
	}
	try = func(c *caller) {
		by := c.at.Add(wait)
		c.e = &waiter{team: "t", weight: 1, cost: 1, deadline: by, done: make(chan error, 1)}
		if c.retried {
			o.back++
			c.e.deadline = c.at.Add(patience - time.Second)
		}
		if _, err := q.enqueueBy(c.at, c.e, by); err != nil {
			refuse(c, err)
			return
		}
		waiting = append(waiting, c)
	}
	q.once.Do(q.init)
	m.Every(time.Millisecond, func(now time.Time) {
		waiting = slices.DeleteFunc(waiting, func(c *caller) bool {
			select {
			case err := <-c.e.done:
				if err != nil {
					refuse(c, err)
					return true
				}
				o.served++
				if now.Sub(c.at) <= target {
					o.inTime++
				}
				if c.retried && now.Sub(c.at) <= target {
					o.backInTime++
				}
				m.After(hold, func(time.Time) { q.release(now, 1) })
				return true
			default:
				return false
			}
		})
	})
	r := rand.New(rand.NewPCG(1, 1))
	rate := slots / hold.Seconds()
	for t := 0.0; t < seconds; t += r.ExpFloat64() / (rate * load(t)) {
		m.After(time.Duration(t*float64(time.Second)), func(now time.Time) { try(&caller{at: now}) })
	}
	m.Advance(time.Duration((seconds + 10) * float64(time.Second)))
	return o
}

func TestEarlyRefusalStartsMoreRequestsInTime(t *testing.T) {
	is := is.New(t)
	o := serveOverload(4 * time.Second)
	queued, all := o.inTime, o.served
	o = serveOverload(200 * time.Millisecond)
	refused, some := o.inTime, o.served
	t.Logf("in order of arrival: %d of %d served in time; refused early: %d of %d", queued, all, refused, some)
	is.True(refused > 2*queued)
	// A late start counts as much as this fraction of a start in time. The gain in starts in time must outweigh the
	// loss of late ones.
	const late = 0.15
	is.True(float64(refused)+late*float64(some-refused) > 1.5*(float64(queued)+late*float64(all-queued)))
}

// TestRefusedCallersComeBackWhenThereIsRoom guards against callers that are refused in a burst and come back into it, where
// they wait until they are late.
func TestRefusedCallersComeBackWhenThereIsRoom(t *testing.T) {
	is := is.New(t)
	soon := serveBursts(200*time.Millisecond, 0)
	later := serveBursts(200*time.Millisecond, time.Second)
	t.Logf("at once: %d in time, %d of %d that came back", soon.inTime, soon.backInTime, soon.back)
	t.Logf("after a second: %d in time, %d of %d that came back", later.inTime, later.backInTime, later.back)
	is.True(later.inTime > soon.inTime)
	is.True(3*later.backInTime >= 2*later.back)
}
