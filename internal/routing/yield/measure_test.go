package yield_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/timer"
	"siskinrun/internal/data/report"
	"siskinrun/internal/routing/modelengine"
	"siskinrun/internal/routing/yield"
)

const (
	length    = 30 * time.Minute
	short     = 10 * time.Minute
	contract  = 2 * time.Second
	peerDelay = 3 * time.Millisecond
	hosts     = 9
)

// arrival is one online request of a trace.
type arrival struct {
	at     time.Duration
	prompt int
	output int
	own    bool
}

// burstTrace alternates quiet times with bursts that fill an engine, with a sharp front or without.
func burstTrace(seed uint64, front bool) []arrival {
	r := rand.New(rand.NewPCG(seed, 1))
	var l []arrival
	add := func(at time.Duration) {
		l = append(l, arrival{at, 200 + r.IntN(600), 100 + r.IntN(100), r.IntN(hosts) == 0})
	}
	const period, burst = 40 * time.Second, 15 * time.Second
	for t := time.Duration(0); t < length; t += time.Duration(r.ExpFloat64() * float64(100*time.Millisecond)) {
		p := t % period
		rate := 0.3
		if p >= period-burst {
			rate = 6
		}
		if front && p >= period-burst && p < period-burst+500*time.Millisecond {
			rate = 40
		}
		if r.Float64() < rate*0.1 || rate > 10 {
			add(t)
			for range int(rate*0.1) - 1 {
				add(t)
			}
		}
	}
	return l
}

// policy says how many batch streams run and how many give way.
type policy interface {
	Window(name string, now time.Time) int
	Online(name string, now time.Time) int
	Ended(name string, now time.Time)
	Peers(name string, n int, now time.Time) int
	Batch(name string, n int)
	FirstToken(name string, took, contract time.Duration, at time.Time)
	BetweenTokens(name string, took, contract time.Duration, at time.Time)
	Report(r report.Report, at time.Time)
}

// fixed is a window that never gives way.
type fixed int

func (f fixed) Window(string, time.Time) int                                  { return int(f) }
func (f fixed) Online(string, time.Time) int                                  { return 0 }
func (f fixed) Ended(string, time.Time)                                       {}
func (f fixed) Peers(string, int, time.Time) int                              { return 0 }
func (f fixed) Batch(string, int)                                             {}
func (f fixed) FirstToken(string, time.Duration, time.Duration, time.Time)    {}
func (f fixed) BetweenTokens(string, time.Duration, time.Duration, time.Time) {}
func (f fixed) Report(report.Report, time.Time)                               {}

// item is one batch item, which resumes where it was cancelled.
type item struct {
	prefix []uint64
	prompt int
	done   int
	cancel func()
	gone   bool
}

const itemOutput = 200

// bench runs one engine under a trace and a policy.
type bench struct {
	clock   *timer.Service
	engine  *modelengine.Engine
	policy  policy
	random  *rand.Rand
	running []*item
	paused  []*item
	peers   int
	first   []time.Duration
	between []time.Duration
	gap     time.Duration
	deaf    bool
	blind   bool
	tokens  int
	cancels int
	busy    float64
}

func newBench(p policy, seed uint64) *bench {
	s := timer.NewManual(time.Unix(0, 0))
	return &bench{
		clock:  s,
		engine: modelengine.NewEngine("e", s, seed),
		policy: p,
		random: rand.New(rand.NewPCG(seed, 2)),
		gap:    100 * time.Millisecond,
	}
}

func (b *bench) run(trace []arrival, d time.Duration) {
	for _, a := range trace {
		b.clock.After(a.at, func(now time.Time) { b.online(a, now) })
	}
	if !b.blind {
		b.engine.OnReport = func(r report.Report) { b.policy.Report(r, b.clock.Now()) }
		b.engine.Publish(250 * time.Millisecond)
	}
	b.clock.Every(10*time.Millisecond, func(now time.Time) {
		running, waiting := b.engine.Load()
		b.busy += float64(min(running+waiting-len(b.running), b.engine.Slots)) * 0.01
		b.drive(now)
	})
	b.clock.Advance(d)
}

func (b *bench) online(a arrival, now time.Time) {
	if a.own {
		n := b.policy.Online("e", now)
		b.clock.After(peerDelay/2, func(time.Time) { b.stop(n) })
	} else {
		b.clock.After(peerDelay/2, func(now time.Time) {
			b.peers++
			n := b.tell(now)
			b.clock.After(peerDelay/2, func(time.Time) { b.stop(n) })
		})
	}
	b.clock.After(peerDelay/2, func(time.Time) {
		last := now
		b.engine.Submit(nil, a.prompt, a.output, func(n int, at time.Time) {
			took := at.Sub(last)
			last = at
			if n == 1 {
				b.first = append(b.first, took)
				b.policy.FirstToken("e", took, contract, at)
			} else {
				b.between = append(b.between, took)
				b.policy.BetweenTokens("e", took, b.gap, at)
			}
			if n == a.output {
				b.ended(a, at)
			}
		})
	})
}

func (b *bench) ended(a arrival, now time.Time) {
	if a.own {
		b.policy.Ended("e", now)
		return
	}
	b.peers--
	b.tell(now)
}

// tell gives the policy the peers' count, unless it is cut off from them.
func (b *bench) tell(now time.Time) int {
	if b.deaf {
		return 0
	}
	return b.policy.Peers("e", b.peers, now)
}

func (b *bench) drive(now time.Time) {
	b.policy.Batch("e", len(b.running))
	w := b.policy.Window("e", now)
	b.stop(len(b.running) - w)
	for len(b.running) < w {
		b.start()
	}
	b.policy.Batch("e", len(b.running))
}

func (b *bench) start() {
	var i *item
	if n := len(b.paused); n > 0 {
		i = b.paused[n-1]
		b.paused = b.paused[:n-1]
		i = &item{prefix: i.prefix, prompt: i.prompt, done: i.done}
	} else {
		i = &item{prompt: 600}
		for range (600 + itemOutput) / modelengine.BlockTokensDefault {
			i.prefix = append(i.prefix, b.random.Uint64())
		}
	}
	b.running = append(b.running, i)
	i.cancel = b.engine.Submit(i.prefix, i.prompt+i.done, itemOutput-i.done, func(int, time.Time) {
		if i.gone {
			return
		}
		i.done++
		b.tokens++
		if i.done == itemOutput {
			b.running = slices.DeleteFunc(b.running, func(o *item) bool { return o == i })
		}
	})
}

// stop cancels the youngest batch streams.
func (b *bench) stop(n int) {
	for range min(n, len(b.running)) {
		l := len(b.running) - 1
		i := b.running[l]
		b.running = b.running[:l]
		i.cancel()
		i.gone = true
		b.cancels++
		b.paused = append(b.paused, i)
	}
}

func quantile(l []time.Duration, q float64) time.Duration {
	s := slices.Sorted(slices.Values(l))
	return s[int(q*float64(len(s)-1))]
}

// optimum returns the batch tokens that would fill each slot-second which online alone leaves idle.
func optimum(idle float64) float64 {
	b := newBench(fixed(modelengine.SlotsDefault), 1)
	b.run(nil, length)
	return idle * float64(b.tokens) / (modelengine.SlotsDefault * length.Seconds())
}

func TestYieldAgainstBaselines(t *testing.T) {
	for i := range 4 {
		front, seed := i%2 == 0, uint64(1+i/2)
		t.Run(fmt.Sprintf("front=%v/seed=%d", front, seed), func(t *testing.T) {
			is := is.New(t)
			trace := burstTrace(seed, front)
			y := yield.NewYield()
			y.Set("e", modelengine.SlotsDefault, time.Unix(0, 0))
			var table strings.Builder
			var off, with *bench
			var best float64
			for _, c := range []struct {
				name   string
				policy policy
			}{
				{"batch off", fixed(0)},
				{"no yield", fixed(modelengine.SlotsDefault)},
				{"fixed window 16", fixed(16)},
				{"fixed window 8", fixed(8)},
				{"yield", y},
			} {
				b := newBench(c.policy, 3)
				b.run(trace, length)
				if off == nil {
					off = b
					best = optimum(modelengine.SlotsDefault*length.Seconds() - b.busy)
				}
				with = b
				if c.policy == fixed(modelengine.SlotsDefault) {
					is.True(ms(quantile(b.first, .99)) > 1.10*ms(quantile(off.first, .99))) // the bound bites
				}
				fmt.Fprintf(&table, "| %-15s | %5d | %6.0f | %6.0f | %4.2f | %7d | %4.1f%% | %5d |\n", c.name, len(b.first),
					ms(quantile(b.first, .5)), ms(quantile(b.first, .99)),
					ms(quantile(b.first, .99))/ms(quantile(off.first, .99)), b.tokens, 100*float64(b.tokens)/best, b.cancels)
			}
			t.Logf("\n%s", table.String())
			is.True(ms(quantile(with.first, .99)) <= 1.10*ms(quantile(off.first, .99)))
			is.True(float64(with.tokens) >= 0.90*best)
		})
	}
}

// TestReportsStandInForPeers cuts the driver off from its peers, so that it hears of their requests by late reports alone.
func TestReportsStandInForPeers(t *testing.T) {
	is := is.New(t)
	trace := burstTrace(1, false)
	var runs []*bench
	for _, blind := range []bool{false, true} {
		y := yield.NewYield()
		y.Set("e", modelengine.SlotsDefault, start)
		b := newBench(y, 3)
		b.deaf, b.blind = true, blind
		b.run(trace, short)
		t.Logf("| %6.0f | %6.0f | %7d | %5d |", ms(quantile(b.first, .5)), ms(quantile(b.first, .99)), b.tokens, b.cancels)
		runs = append(runs, b)
	}
	is.True(quantile(runs[0].first, .99) < quantile(runs[1].first, .99))
	is.True(runs[0].tokens > runs[1].tokens)
}

// TestSteadyTrafficLeavesBatchItsShare runs many short online requests that never fill the engine, against batch that never yields.
func TestSteadyTrafficLeavesBatchItsShare(t *testing.T) {
	is := is.New(t)
	r := rand.New(rand.NewPCG(5, 1))
	var trace []arrival
	for at := time.Duration(0); at < short; at += time.Duration(r.ExpFloat64() * float64(125*time.Millisecond)) {
		trace = append(trace, arrival{at, 50 + r.IntN(100), 10 + r.IntN(30), r.IntN(hosts) == 0})
	}
	y := yield.NewYield()
	y.Set("e", modelengine.SlotsDefault, start)
	off, none, with := newBench(fixed(0), 3), newBench(fixed(modelengine.SlotsDefault), 3), newBench(y, 3)
	for _, b := range []*bench{off, none, with} {
		b.run(trace, short)
		t.Logf("| %4.1f | %6.0f | %7d | %5d |", b.busy/short.Seconds(), ms(quantile(b.first, .99)), b.tokens, b.cancels)
	}
	is.True(float64(with.tokens) >= 0.90*float64(none.tokens))
	is.True(quantile(with.first, .99) <= contract)
}

// TestFeedbackHoldsTheContract runs an engine on which a full batch breaks the contracted time between tokens.
func TestFeedbackHoldsTheContract(t *testing.T) {
	is := is.New(t)
	var trace []arrival
	for at := time.Duration(0); at < short; at += time.Second {
		trace = append(trace, arrival{at, 100, 100, true})
	}
	run := func(p policy) *bench {
		b := newBench(p, 3)
		b.engine.StepStream = 2 * time.Millisecond
		b.engine.Chunk = 128
		b.gap = 75 * time.Millisecond
		b.run(trace, short)
		return b
	}
	y := yield.NewYield()
	y.Set("e", modelengine.SlotsDefault, start)
	off, none, with := run(fixed(0)), run(fixed(modelengine.SlotsDefault)), run(y)
	for _, b := range []*bench{off, none, with} {
		t.Logf("| %5.1f | %7d |", ms(quantile(b.between, .99)), b.tokens)
	}
	is.True(quantile(none.between, .99) > none.gap) // the contract bites
	is.True(quantile(with.between, .99) <= with.gap)
	is.True(with.tokens > none.tokens/2)
}

func ms(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }
