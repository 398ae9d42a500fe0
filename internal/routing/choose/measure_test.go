package choose_test

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
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/report"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/choose"
	"siskinrun/internal/routing/modelengine"
)

const (
	traceWarm   = 10 * time.Second
	manyEngines = 48
	fewEngines  = 12
	entryHosts  = 9
	peerDelay   = 3 * time.Millisecond
	prefixes    = 400
)

// trace says what requests come and what they meet.
type trace struct {
	engines int
	shared  bool
	slow    bool
	length  time.Duration
}

// rate is the number of requests a second that each engine gets on average.
const rate = 5.0

// router picks an engine for a request that came to a host.
type router interface {
	pick(host int, now time.Time, prefix []uint64) int
	started(host, engine int)
	finished(host, engine int, first time.Duration, now time.Time)
	report(engine int, r report.Report, now time.Time)
	cache(e cache.Event)
}

// blind is a router that hears nothing.
type blind struct{}

func (blind) started(int, int)                            {}
func (blind) finished(int, int, time.Duration, time.Time) {}
func (blind) report(int, report.Report, time.Time)        {}
func (blind) cache(cache.Event)                           {}

type randomly struct {
	blind
	n int
	r *rand.Rand
}

func (r randomly) pick(int, time.Time, []uint64) int { return r.r.IntN(r.n) }

type roundRobin struct {
	blind
	n    int
	next *[entryHosts]int
}

func (r roundRobin) pick(host int, _ time.Time, _ []uint64) int {
	r.next[host]++
	return (r.next[host] + host) % r.n
}

type leastLoaded struct {
	blind
	r    *rand.Rand
	load []int
}

func (l leastLoaded) report(engine int, r report.Report, _ time.Time) {
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

// chosen routes by one Choose a host, with counts that reach the peers late.
type chosen struct {
	clock *timer.Service
	hosts [entryHosts]*choose.Choose
	known [entryHosts][]int
	total []int
}

func newChosen(s *timer.Service, l []upstream.Upstream) *chosen {
	c := &chosen{clock: s, total: make([]int, len(l))}
	for i := range c.hosts {
		c.hosts[i] = choose.NewChoose(uint64(i))
		c.hosts[i].SetUpstreams(l, s.Now())
		c.known[i] = make([]int, len(l))
	}
	return c
}

func (c *chosen) pick(host int, now time.Time, prefix []uint64) int {
	u, _ := c.hosts[host].Pick(now, demand.Demand{
		Service: "llm", Model: "m@1", Prefix: prefix, FailureDomain: fmt.Sprintf("d%d", host%3),
	})
	return number(u.Name)
}

func (c *chosen) started(host, engine int) {
	c.hosts[host].Started(name(engine))
	c.tell(host, engine, 1)
}

func (c *chosen) finished(host, engine int, first time.Duration, now time.Time) {
	c.hosts[host].Finished(name(engine), outcome.Succeeded, first, now)
	c.tell(host, engine, -1)
}

func (c *chosen) tell(host, engine, n int) {
	c.clock.After(peerDelay, func(now time.Time) {
		c.known[host][engine] += n
		c.total[engine] += n
		for i, h := range c.hosts {
			h.Peers(name(engine), c.total[engine]-c.known[i][engine], now)
		}
	})
}

func (c *chosen) report(_ int, r report.Report, now time.Time) {
	for _, h := range c.hosts {
		h.Report(r, now)
	}
}

func (c *chosen) cache(e cache.Event) {
	for _, h := range c.hosts {
		h.Cache(e)
	}
}

func name(i int) string { return fmt.Sprintf("u%04d", i) }

func number(s string) int {
	var i int
	fmt.Sscanf(s, "u%d", &i)
	return i
}

// result is what one policy reached on one trace.
type result struct {
	p50, p99, whole time.Duration
	hits            float64
}

// play runs a trace against a fleet of model engines.
func play(tr trace, seed uint64, build func(*timer.Service, []upstream.Upstream) router) result {
	s := timer.NewManual(time.Unix(0, 0))
	l := fleet(tr.engines, 3)
	es := make([]*modelengine.Engine, tr.engines)
	for i := range es {
		e := modelengine.NewEngine(name(i), s, uint64(i))
		l[i].Slots = e.Slots
		e.Loss = 0.05
		if tr.slow && i == 5 {
			e.Slowness = 3
		}
		es[i] = e
	}
	r := build(s, l)
	for i, e := range es {
		e.OnReport = func(v report.Report) { r.report(i, v, s.Now()) }
		e.OnCache = r.cache
		s.After(time.Duration(i)*20*time.Millisecond, func(time.Time) { e.Publish(250 * time.Millisecond) })
	}
	var first, whole []time.Duration
	random := rand.New(rand.NewPCG(seed, 3))
	var arrive func(now time.Time)
	arrive = func(now time.Time) {
		s.After(time.Duration(random.ExpFloat64()/(rate*float64(tr.engines))*float64(time.Second)), arrive)
		prefix, prompt, output := draw(random, tr.shared)
		host := random.IntN(entryHosts)
		i := r.pick(host, now, prefix)
		r.started(host, i)
		var took time.Duration
		es[i].Submit(prefix, prompt, output, func(n int, at time.Time) {
			if n == 1 {
				took = at.Sub(now)
			}
			if n == 1 && now.Sub(time.Unix(0, 0)) > traceWarm {
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
	var hits, asked int64
	for _, e := range es {
		h, a := e.Hits()
		hits += h
		asked += a
	}
	return result{quantile(first, .5), quantile(first, .99), quantile(whole, .99), float64(hits) / float64(asked)}
}

// draw returns the prefix hashes, prompt tokens and output tokens of a request.
func draw(r *rand.Rand, shared bool) ([]uint64, int, int) {
	prompt := 200 + r.IntN(1200)
	output := 50 + r.IntN(100)
	blocks := prompt / modelengine.BlockTokensDefault
	var prefix []uint64
	if shared {
		group := uint64(float64(prefixes) * r.Float64() * r.Float64())
		for i := range uint64(16) {
			prefix = append(prefix, (group*16+i+1)*0x9e3779b97f4a7c15)
		}
		prompt = 16*modelengine.BlockTokensDefault + 50 + r.IntN(300)
		blocks = prompt / modelengine.BlockTokensDefault
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
					return randomly{n: tr.engines, r: rand.New(rand.NewPCG(1, 1))}
				}},
				{"round robin", func(*timer.Service, []upstream.Upstream) router {
					return roundRobin{n: tr.engines, next: new([entryHosts]int)}
				}},
				{"least loaded", func(*timer.Service, []upstream.Upstream) router {
					return leastLoaded{r: rand.New(rand.NewPCG(1, 1)), load: make([]int, tr.engines)}
				}},
				{"choose", func(s *timer.Service, l []upstream.Upstream) router { return newChosen(s, l) }},
			} {
				got = play(tr, 5, c.build)
				fmt.Fprintf(&table, "| %-12s | %5d | %5d | %6d | %4.1f%% |\n", c.name,
					got.p50.Milliseconds(), got.p99.Milliseconds(), got.whole.Milliseconds(), 100*got.hits)
				if i == 0 || c.name != "choose" && got.p99 < best.p99 {
					best.p99 = got.p99
				}
				if c.name != "choose" {
					best.hits = max(best.hits, got.hits)
				}
			}
			t.Logf("\n%s", table.String())
			is.True(float64(got.p99) <= 1.05*float64(best.p99))
			is.True(got.hits >= 0.95*best.hits)
		})
	}
}
