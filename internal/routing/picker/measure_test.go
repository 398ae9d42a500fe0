package picker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/cache"
	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/enginesim"
	"siskinrun/internal/routing/picker"
)

const (
	warmUpTime  = 10 * time.Second
	manyEngines = 48
	fewEngines  = 12
	entryHosts  = 9
	peerDelay   = 3 * time.Millisecond
	prefixes    = 400
)

// trace describes the requests and the engines of a simulation.
type trace struct {
	engines int
	// shared makes requests share prompt prefixes.
	shared bool
	// slow makes one engine take three times as long.
	slow   bool
	length time.Duration
}

// rate is the average number of requests a second for each engine.
const rate = 5.0

// router picks an engine for a request that arrived at a host.
type router interface {
	pick(host int, now time.Time, prefix []uint64) int
	started(host, engine int)
	finished(host, engine int, first time.Duration, now time.Time)
	report(engine int, r loadreport.Report, now time.Time)
	cache(e cache.Event)
}

// noFeedback is a router that ignores all feedback.
type noFeedback struct{}

func (noFeedback) started(int, int)                            {}
func (noFeedback) finished(int, int, time.Duration, time.Time) {}
func (noFeedback) report(int, loadreport.Report, time.Time)    {}
func (noFeedback) cache(cache.Event)                           {}

type randomRouter struct {
	noFeedback
	n int
	r *rand.Rand
}

func (r randomRouter) pick(int, time.Time, []uint64) int { return r.r.IntN(r.n) }

type roundRobin struct {
	noFeedback
	n    int
	next *[entryHosts]int
}

func (r roundRobin) pick(host int, _ time.Time, _ []uint64) int {
	r.next[host]++
	return (r.next[host] + host) % r.n
}

type leastLoaded struct {
	noFeedback
	r    *rand.Rand
	load []int
}

func (l leastLoaded) report(engine int, r loadreport.Report, _ time.Time) {
	l.load[engine] = r.Running + r.Waiting
}

func (l leastLoaded) pick(int, time.Time, []uint64) int {
	best := l.r.IntN(len(l.load))
	for i := range l.load {
		if l.load[i] < l.load[best] {
			best = i
		}
	}
	return best
}

// pickerRouter routes with one Picker for each host; counts reach the peers after peerDelay.
type pickerRouter struct {
	clock     *timer.Service
	hosts     [entryHosts]*picker.Picker
	ownCounts [entryHosts][]int
	total     []int
}

func newPickerRouter(s *timer.Service, l []upstream.Upstream) *pickerRouter {
	c := &pickerRouter{clock: s, total: make([]int, len(l))}
	for i := range c.hosts {
		c.hosts[i] = picker.NewPicker(uint64(i))
		c.hosts[i].SetUpstreams(l, s.Now())
		c.ownCounts[i] = make([]int, len(l))
	}
	return c
}

func (c *pickerRouter) pick(host int, now time.Time, prefix []uint64) int {
	u, _ := c.hosts[host].Pick(now, demand.Demand{
		Service: "llm", Model: "m@1", PrefixHashes: prefix, FailureDomain: fmt.Sprintf("d%d", host%3),
	})
	return number(u.Name)
}

func (c *pickerRouter) started(host, engine int) {
	c.hosts[host].Started(name(engine))
	c.publishCount(host, engine, 1)
}

func (c *pickerRouter) finished(host, engine int, first time.Duration, now time.Time) {
	c.hosts[host].Finished(name(engine), outcome.Succeeded, first, now)
	c.publishCount(host, engine, -1)
}

func (c *pickerRouter) publishCount(host, engine, n int) {
	c.clock.After(peerDelay, func(now time.Time) {
		c.ownCounts[host][engine] += n
		c.total[engine] += n
		for i, h := range c.hosts {
			h.SetPeerRequests(name(engine), c.total[engine]-c.ownCounts[i][engine], now)
		}
	})
}

func (c *pickerRouter) report(_ int, r loadreport.Report, now time.Time) {
	for _, h := range c.hosts {
		h.Report(r, now)
	}
}

func (c *pickerRouter) cache(e cache.Event) {
	for _, h := range c.hosts {
		h.ApplyCacheEvent(e)
	}
}

func name(i int) string { return fmt.Sprintf("u%04d", i) }

func number(s string) int {
	var i int
	fmt.Sscanf(s, "u%d", &i)
	return i
}

// result holds the outcome of one router on one trace: the time to the first token at the 50th and 99th percentiles,
// the time of the whole answer at the 99th, and the cache hit rate.
type result struct {
	p50, p99, whole time.Duration
	hits            float64
}

// simulate runs a trace against simulated engines.
func simulate(tr trace, seed uint64, build func(*timer.Service, []upstream.Upstream) router) result {
	s := timer.NewManual(time.Unix(0, 0))
	l := fleet(tr.engines, 3)
	es := make([]*enginesim.Engine, tr.engines)
	for i := range es {
		e := enginesim.NewEngine(name(i), s, uint64(i))
		l[i].Slots = e.Slots
		e.EventLoss = 0.05
		if tr.slow && i == 5 {
			e.Slowness = 3
		}
		es[i] = e
	}
	r := build(s, l)
	for i, e := range es {
		e.OnReport = func(v loadreport.Report) { r.report(i, v, s.Now()) }
		e.OnCache = r.cache
		s.After(time.Duration(i)*20*time.Millisecond, func(time.Time) { e.Publish(250 * time.Millisecond) })
	}
	var first, whole []time.Duration
	random := rand.New(rand.NewPCG(seed, 3))
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		s.After(time.Duration(random.ExpFloat64()/(rate*float64(tr.engines))*float64(time.Second)), arrive)
		prefix, prompt, output := drawRequest(random, tr.shared)
		host := random.IntN(entryHosts)
		i := r.pick(host, now, prefix)
		r.started(host, i)
		var took time.Duration
		es[i].Submit(prefix, prompt, output, func(n int, at time.Time) {
			if n == 1 {
				took = at.Sub(now)
			}
			if n == 1 && now.Sub(time.Unix(0, 0)) > warmUpTime {
				first = append(first, took)
			}
			if n == output {
				whole = append(whole, at.Sub(now))
				r.finished(host, i, took, at)
			}
		})
	}
	arrive(s.Now())
	s.Advance(tr.length)
	var hits, total int64
	for _, e := range es {
		h, a := e.Hits()
		hits += h
		total += a
	}
	return result{quantile(first, .5), quantile(first, .99), quantile(whole, .99), float64(hits) / float64(total)}
}

// drawRequest returns random prefix hashes, prompt tokens and output tokens of a request.
func drawRequest(r *rand.Rand, shared bool) ([]uint64, int, int) {
	prompt := 200 + r.IntN(1200)
	output := 50 + r.IntN(100)
	blocks := prompt / enginesim.DefaultBlockTokens
	var prefix []uint64
	if shared {
		group := uint64(float64(prefixes) * r.Float64() * r.Float64())
		for i := range uint64(16) {
			prefix = append(prefix, (group*16+i+1)*0x9e3779b97f4a7c15)
		}
		prompt = 16*enginesim.DefaultBlockTokens + 50 + r.IntN(300)
		blocks = prompt / enginesim.DefaultBlockTokens
	}
	for len(prefix) < blocks {
		prefix = append(prefix, r.Uint64())
	}
	return prefix, prompt, output
}

func quantile(l []time.Duration, q float64) time.Duration {
	slices.Sort(l)
	return l[int(q*float64(len(l)-1))]
}

func TestRoutingAgainstBaselines(t *testing.T) {
	for _, tr := range []trace{
		{engines: fewEngines, length: 80 * time.Second},
		{engines: fewEngines, length: 80 * time.Second, shared: true},
		{engines: fewEngines, length: 80 * time.Second, slow: true},
		{engines: fewEngines, length: 80 * time.Second, shared: true, slow: true},
		{engines: manyEngines, length: 25 * time.Second},
		{engines: manyEngines, length: 25 * time.Second, shared: true, slow: true},
	} {
		t.Run(fmt.Sprintf("engines=%d/shared=%v/slow=%v", tr.engines, tr.shared, tr.slow), func(t *testing.T) {
			is := is.New(t)
			var table strings.Builder
			var best, got result
			for i, c := range []struct {
				name  string
				build func(*timer.Service, []upstream.Upstream) router
			}{
				{"random", func(*timer.Service, []upstream.Upstream) router {
					return randomRouter{n: tr.engines, r: rand.New(rand.NewPCG(1, 1))}
				}},
				{"round robin", func(*timer.Service, []upstream.Upstream) router {
					return roundRobin{n: tr.engines, next: new([entryHosts]int)}
				}},
				{"least loaded", func(*timer.Service, []upstream.Upstream) router {
					return leastLoaded{r: rand.New(rand.NewPCG(1, 1)), load: make([]int, tr.engines)}
				}},
				{"picker", func(s *timer.Service, l []upstream.Upstream) router { return newPickerRouter(s, l) }},
			} {
				got = simulate(tr, 5, c.build)
				fmt.Fprintf(&table, "| %-12s | %5d | %5d | %6d | %4.1f%% |\n", c.name,
					got.p50.Milliseconds(), got.p99.Milliseconds(), got.whole.Milliseconds(), 100*got.hits)
				if i == 0 || c.name != "picker" && got.p99 < best.p99 {
					best.p99 = got.p99
				}
				if c.name != "picker" {
					best.hits = max(best.hits, got.hits)
				}
			}
			t.Logf("\n%s", table.String())
			is.True(float64(got.p99) <= 1.05*float64(best.p99))
			is.True(got.hits >= 0.95*best.hits)
		})
	}
}
