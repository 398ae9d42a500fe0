package picker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/picker"
)

// staleFleet is a fleet in which many hosts choose among many engines and learn of each other's calls late.
type staleFleet struct {
	random  *rand.Rand
	now     time.Time
	hosts   []*picker.Picker
	own     []map[string]int
	engines []upstream.Upstream
	index   map[string]int
	online  []int
	batch   []int
	ends    []end
}

// end is when a call on an engine ends.
type end struct {
	at     time.Time
	host   int
	engine int
}

const (
	staleHosts     = 250
	staleEngines   = 155
	staleDomains   = 5
	staleSlots     = 8
	relayPeriod    = 150 * time.Millisecond
	staleRunLength = 8 * time.Second
	staleTick      = time.Millisecond
	staleCallTime  = 500 * time.Millisecond
)

func newStaleFleet(seed uint64, batch func(engine int) int) *staleFleet {
	f := &staleFleet{
		random: rand.New(rand.NewPCG(seed, 1)), now: start, index: map[string]int{},
		online: make([]int, staleEngines), batch: make([]int, staleEngines),
	}
	for i := range staleEngines {
		u := upstream.Upstream{
			Name: fmt.Sprintf("u%04d", i), Kind: upstream.Engine, Service: "llm", Models: []string{"m"},
			FailureDomain: fmt.Sprintf("d%d", i%staleDomains), Slots: staleSlots, Incarnation: 1,
		}
		f.index[u.Name] = i
		f.engines = append(f.engines, u)
		f.batch[i] = batch(i)
	}
	for i := range staleHosts {
		p := picker.NewPicker(seed + uint64(i))
		p.LocalityWeight = 0.3
		p.SetUpstreams(f.engines, start)
		f.hosts = append(f.hosts, p)
		f.own = append(f.own, map[string]int{})
	}
	return f
}

// run sends calls at a rate per second and returns how many came to an engine without a free slot, and the highest number
// of calls on one engine.
func (f *staleFleet) run(rate float64) (sent, full, most int) {
	next := f.now
	for stop := f.now.Add(staleRunLength); f.now.Before(stop); f.now = f.now.Add(staleTick) {
		f.endCalls()
		if f.now.Sub(start)%relayPeriod == 0 {
			f.relay()
		}
		for !next.After(f.now) {
			next = next.Add(time.Duration(f.random.ExpFloat64() / rate * float64(time.Second)))
			e := f.call()
			sent++
			most = max(most, f.online[e])
			if f.online[e]+f.batch[e] > staleSlots {
				full++
			}
		}
	}
	return sent, full, most
}

func (f *staleFleet) call() int {
	h := f.random.IntN(staleHosts)
	u, _ := f.hosts[h].Pick(f.now, demand.Demand{Service: "llm", Model: "m", FailureDomain: fmt.Sprintf("d%d", h%staleDomains)})
	e := f.index[u.Name]
	f.hosts[h].Started(u.Name)
	f.own[h][u.Name]++
	f.online[e]++
	f.ends = append(f.ends, end{f.now.Add(time.Duration(float64(staleCallTime) * (0.5 + f.random.Float64()))), h, e})
	return e
}

func (f *staleFleet) endCalls() {
	f.ends = slices.DeleteFunc(f.ends, func(c end) bool {
		if c.at.After(f.now) {
			return false
		}
		n := f.engines[c.engine].Name
		f.hosts[c.host].Finished(n, outcome.Succeeded, 60*time.Millisecond, f.now)
		f.own[c.host][n]--
		f.online[c.engine]--
		return true
	})
}

// relay tells each host the calls of all others.
func (f *staleFleet) relay() {
	for h, p := range f.hosts {
		for i, u := range f.engines {
			p.SetPeerRequests(u.Name, f.online[i]-f.own[h][u.Name], f.now)
			p.SetPeerBatch(u.Name, f.batch[i])
		}
	}
}

// TestHostsWithOldCountsSpreadTheirCalls plays hundreds of hosts that hear of each other's calls every 150 ms, at a load of
// two thirds of the slots. Hosts that all take the engine that looked emptiest fill it, while others have free slots.
func TestHostsWithOldCountsSpreadTheirCalls(t *testing.T) {
	for _, c := range []struct {
		name    string
		batch   func(engine int) int
		rate    float64
		maxFull float64
	}{
		{"online alone", func(int) int { return 0 }, 1300, 0.01},
		{"a few runs everywhere", func(i int) int { return i % 4 }, 1100, 0.05},
		{"a third full of runs", func(i int) int { return 7 * (i % 3 / 2) }, 900, 0.03},
	} {
		t.Run(c.name, func(t *testing.T) {
			sent, full, most := newStaleFleet(1, c.batch).run(c.rate)
			t.Logf("%d calls, %d to engines without a free slot, at most %d on one", sent, full, most)
			is.New(t).True(float64(full) <= c.maxFull*float64(sent))
		})
	}
}
