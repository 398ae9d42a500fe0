package permits_test

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/upstream"
)

const (
	// coldPerSecond, coldOverrun and coldSlack make what a cold upstream bears in any second, and coldTime is how long it is cold.
	coldPerSecond = 6.2
	coldOverrun   = 1.5
	coldSlack     = 5
	coldTime      = 6 * time.Second
	// minNewsAge and maxNewsAge bound the time after which a host hears that an upstream is cold.
	minNewsAge = 10 * time.Millisecond
	maxNewsAge = 200 * time.Millisecond
	// maxArrival bounds the time from a permit to the arrival of its request.
	maxArrival = 40 * time.Millisecond
)

// coldLoad is a simulated load on upstreams that turn cold.
type coldLoad struct {
	*network
	// turned is when the upstreams turned cold, and restarted that they did so by a restart.
	turned    time.Time
	restarted bool
	// knows holds the upstreams as each host knows them.
	knows map[string][]upstream.Upstream
	// unaware is the last arrival of a request whose host had not heard that the upstream is cold.
	unaware time.Time
}

func newColdLoad(t *testing.T, hosts, upstreams int, restarted bool) *coldLoad {
	t.Helper()
	w := newNetwork(t, hosts, upstreams)
	w.coldRate = coldPerSecond
	l := &coldLoad{network: w, restarted: restarted, knows: map[string][]upstream.Upstream{}}
	for n := range w.nodes {
		l.learn(n)
	}
	w.wait(t, 500*time.Millisecond)
	return l
}

// learn tells a host of the upstreams as they are now.
func (l *coldLoad) learn(name string) {
	l.mu.Lock()
	var known []upstream.Upstream
	for _, u := range l.upstreams {
		k := u.upstream
		if !l.turned.IsZero() {
			k.Cold, k.Age = duration.Duration(coldTime), duration.Duration(l.timer.Now().Sub(l.turned))
		}
		known = append(known, k)
	}
	l.knows[name] = known
	s := l.nodes[name].service.Load()
	l.mu.Unlock()
	s.SetUpstreams(known)
}

// turnCold makes all upstreams cold; each host that is neither cut off nor down hears of it after a while.
func (l *coldLoad) turnCold(ctx context.Context) {
	l.set(func() {
		l.turned = l.timer.Now()
		for _, u := range l.upstreams {
			if l.restarted {
				u.upstream.Incarnation++
			}
		}
	})
	for n, x := range l.nodes {
		l.group.Go("hear", func(context.Context) error {
			late := minNewsAge + rand.N(maxNewsAge-minNewsAge)
			for l.timer.Sleep(ctx, late) == nil {
				late = 50 * time.Millisecond
				l.mu.Lock()
				lost := x.cut || x.down
				l.mu.Unlock()
				if !lost {
					l.learn(n)
					return nil
				}
			}
			return nil
		})
	}
}

// press lets hosts send to random upstreams until ctx ends.
func (l *coldLoad) press(ctx context.Context, interval time.Duration, hosts ...string) {
	for _, n := range hosts {
		x := l.nodes[n]
		l.group.Go("press", func(context.Context) error {
			for l.timer.Sleep(ctx, interval/2+rand.N(interval)) == nil {
				l.mu.Lock()
				known, idle := l.knows[n], x.down
				l.mu.Unlock()
				if !idle {
					l.send(ctx, x, rand.IntN(len(known)), known)
				}
			}
			return nil
		})
	}
}

// send sends a request to an upstream as a host knows it. One to a former incarnation reaches no process.
func (l *coldLoad) send(ctx context.Context, x *node, i int, known []upstream.Upstream) {
	p := x.service.Load().Take(ctx, known[i], false, 0)
	if !p.Granted || l.timer.Sleep(ctx, p.Wait+rand.N(maxArrival)) != nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.upstreams[i]; u.upstream.Incarnation == known[i].Incarnation {
		u.arrivals = append(u.arrivals, l.timer.Now())
		if !l.turned.IsZero() && known[i].Cold == 0 {
			l.unaware = l.timer.Now()
		}
	}
}

// checkCold holds what upstreams got from a time on, until they are warm, against what they bear, and returns the least
// number that one of them got.
func (l *coldLoad) checkCold(t *testing.T, from time.Time) int {
	t.Helper()
	l.mu.Lock()
	defer l.mu.Unlock()
	is := is.New(t)
	least := math.MaxInt
	for _, u := range l.upstreams {
		var got []time.Time
		for _, a := range u.arrivals {
			if !a.Before(from) && a.Before(l.turned.Add(coldTime)) {
				got = append(got, a)
			}
		}
		slices.SortFunc(got, time.Time.Compare)
		most := 0
		for i, a := range got {
			n := 0
			for _, b := range got[i:] {
				if b.Before(a.Add(time.Second)) {
					n++
				}
			}
			most = max(most, n)
		}
		t.Logf("%s: %d at the most in a second, %d in all", u.upstream.Name, most, len(got))
		is.True(float64(most) <= coldPerSecond*coldOverrun+coldSlack)
		least = min(least, len(got))
	}
	return least
}

// maxColdRuns is the most times that a load is run, and minCold the least number of requests that each cold upstream is to get.
const (
	maxColdRuns = 3
	minCold     = 10
)

// pressCold runs a load on upstreams that turn cold, checks the bound, and reports whether each got enough.
func pressCold(t *testing.T, hosts int, restarted bool) bool {
	t.Helper()
	l := newColdLoad(t, hosts, 3, restarted)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	l.press(ctx, time.Duration(hosts)*2*time.Millisecond, l.names()...) // 500 a second
	l.wait(t, time.Second)
	l.turnCold(ctx)
	l.wait(t, coldTime+time.Second)
	from := l.turned
	if !restarted {
		l.mu.Lock()
		from = l.unaware.Add(1) // later than maxNewsAge if the machine is slow
		l.mu.Unlock()
		t.Logf("all hosts held back after %v", from.Sub(l.turned))
	}
	return l.checkCold(t, from) >= minCold
}

// checkColdUse runs a load on upstreams that turn cold, after a restart and without one, and checks the bound in each run and that
// the upstreams get enough in one of them: on a busy machine hosts of one process stand still, and then hand out nothing.
func checkColdUse(t *testing.T, hosts int) {
	t.Helper()
	for _, restarted := range []bool{true, false} {
		t.Run(fmt.Sprint(hosts, " hosts, restarted ", restarted), func(t *testing.T) {
			for range maxColdRuns {
				if pressCold(t, hosts, restarted) {
					return
				}
			}
			t.Fatal("a cold upstream gets too little of what it bears")
		})
	}
}

// TestHostsTogetherKeepToWhatAColdUpstreamBears guards against upstreams that crash after a start or after they turned cold,
// since each host sends what the upstream bears from all.
func TestHostsTogetherKeepToWhatAColdUpstreamBears(t *testing.T) {
	checkColdUse(t, 6)
	checkColdUse(t, 60)
}

// TestManyHostsKeepToWhatAColdUpstreamBears guards against the same in a fleet of the largest size.
func TestManyHostsKeepToWhatAColdUpstreamBears(t *testing.T) {
	checkColdUse(t, 300)
}

// TestColdBoundHoldsWhileHostsAreLost guards against a second coordinator, one that goes on with what it knew before it
// stood still, and hosts that take all of the rate for themselves where they are cut off.
func TestColdBoundHoldsWhileHostsAreLost(t *testing.T) {
	for _, c := range []struct {
		name string
		lose func(x *node)
		back func(x *node)
	}{
		{"it ends and starts again", func(x *node) { x.down = true; x.stop() }, func(x *node) { x.start(); x.down = false }},
		{"it freezes", func(x *node) { x.down = true }, func(x *node) { x.down = false }},
		{"it is cut off", func(x *node) { x.cut = true }, func(x *node) { x.cut = false }},
	} {
		for _, before := range []bool{true, false} {
			t.Run(fmt.Sprint(c.name, ", before the upstream is cold ", before), func(t *testing.T) {
				t.Parallel()
				l := newColdLoad(t, 9, 1, true)
				x := l.nodes[l.assignment(l.nodes["h0"]).HostOf("u0")]
				ctx, stop := context.WithCancel(t.Context())
				defer stop()
				l.press(ctx, 20*time.Millisecond, l.names()...)
				if before {
					l.set(func() { c.lose(x) })
				}
				l.turnCold(ctx)
				l.wait(t, 2500*time.Millisecond)
				if !before {
					l.set(func() { c.lose(x) })
				}
				l.wait(t, 1500*time.Millisecond)
				l.set(func() { c.back(x) })
				l.learn(x.host.Name)
				l.wait(t, coldTime-4*time.Second)
				is.New(t).True(l.checkCold(t, l.turned) >= 1)
			})
		}
	}
}

// TestCutOffHostsSendNothingToColdUpstreams guards against a share of the rate at either side of a cut that sums to more. The
// larger side gets permits again once its new meter is open, and the smaller side gets none then either.
func TestCutOffHostsSendNothingToColdUpstreams(t *testing.T) {
	l := newColdLoad(t, 9, 1, true)
	ctx, stop := context.WithCancel(t.Context())
	defer stop()
	l.turnCold(ctx)
	l.wait(t, 2*maxNewsAge)
	l.set(func() {
		for _, n := range []string{"h0", "h1", "h2", "h3"} {
			l.nodes[n].cut = true
		}
	})
	l.wait(t, 500*time.Millisecond)
	u := l.knows["h0"][0]
	larger := 0
	for range 40 {
		for _, x := range l.nodes {
			granted := x.service.Load().Take(ctx, u, false, 0).Granted
			is.New(t).True(!granted || !x.cut)
			if granted {
				larger++
			}
		}
		l.wait(t, 100*time.Millisecond)
	}
	is.New(t).True(larger > 0)
}

// TestWithoutARateColdUpstreamsAreAsWarmOnes guards against asks, waits and refusals where nothing bounds cold upstreams.
func TestWithoutARateColdUpstreamsAreAsWarmOnes(t *testing.T) {
	is := is.New(t)
	w := newNetwork(t, 3, 1)
	s := w.nodes["h0"].service.Load()
	u := w.upstreams[0].upstream
	u.Cold = duration.Duration(coldTime)
	s.SetUpstreams([]upstream.Upstream{u})
	w.mu.Lock()
	before := w.bytes
	w.mu.Unlock()
	for range 1000 {
		p := s.Take(t.Context(), u, true, 0)
		is.True(p.Granted)
		is.Equal(p.Wait, time.Duration(0))
	}
	is.True(!s.AnyLimit())
	is.True(!s.Named(u.Name, u.Incarnation))
	at, used := s.Next(u.Name, u.Incarnation, w.timer.Now())
	is.True(at.IsZero() && used == 0)
	_, limited := s.BatchRoom(u.Name)
	is.True(!limited)
	is.Equal(s.Slots(u.Name, 8, 3, 3), 8.0)
	w.mu.Lock()
	defer w.mu.Unlock()
	is.True(w.bytes-before < 10*messageOverheadBytes) // no asks
}

// TestBatchItemsWaitForColdUpstreams guards against items that take what a cold upstream bears from calls.
func TestBatchItemsWaitForColdUpstreams(t *testing.T) {
	is := is.New(t)
	l := newColdLoad(t, 3, 1, true)
	l.turnCold(t.Context())
	l.wait(t, 3*time.Second)
	x := l.nodes[l.assignment(l.nodes["h0"]).HostOf("u0")].service.Load()
	u := l.knows["h0"][0]
	n, limited := x.BatchRoom(u.Name)
	is.Equal(n, 0)
	is.True(limited)
	is.True(!x.Take(t.Context(), u, true, 0).Granted)
	granted := false
	for i := 0; i < 25 && !granted; i++ { // a host that stood still hands out nothing for a while
		granted = x.Take(t.Context(), u, false, 0).Granted
		l.wait(t, 100*time.Millisecond)
	}
	is.True(granted)
}
