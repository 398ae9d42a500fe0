package picker_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/picker"
)

// pacedLoad plays calls to upstreams that are slow at times, in steps of a millisecond. Hosts learn of the pace with their own
// answers, and with the counts of others: these are published every 20 ms and applied every 50 ms, as on a host.
type pacedLoad struct {
	random *rand.Rand
	now    time.Time
	// slow returns how long work takes at an upstream at a time, relative to the usual.
	slow func(u int, at time.Time) float64
	// lasting is the slowness of each upstream that does not change.
	lasting []float64
	// reports makes upstreams report their pace.
	reports   bool
	choose    func(l *pacedLoad, host int) int
	hosts     []*picker.Picker
	upstreams []upstream.Upstream
	number    map[string]int
	own       [][]int
	published []int
	// paces and pacesAt are the newest paces that any host knows, publishedPaces what is published of them.
	paces          []int
	pacesAt        []time.Time
	publishedPaces []int
	publishedAt    []time.Time
	free           [][]time.Time
	running        []int
	calls          []pacedCall
	next           int
	// domains is the number of failure domains among which hosts and upstreams take turns, publishEvery the time between
	// two times at which counts and paces are published.
	domains      int
	publishEvery time.Duration
	// applyEvery is the time between two times at which a host applies what is published.
	applyEvery time.Duration
	// first is the share of the time of an answer after which it begins.
	first float64
	// ended, if set, is told of each call that ends.
	ended func(host, to int)
	// gone, if set, tells the baselines which upstreams are lost.
	gone func(u int, at time.Duration) bool
	// told are the counts of others that each host has applied.
	told [][]int
	// tried are the upstreams that the present call has tried.
	tried []string

	took []time.Duration
	// missed counts the calls that went to a slow upstream while a fast one had a free slot.
	missed int
}

// pacedCall is a call that ends at a time.
type pacedCall struct {
	sent, ends time.Time
	host, to   int
}

const (
	pacedSlots = 8
	pacedWork  = 100 * time.Millisecond
	// pacedWay is the time that a call or an answer is under way.
	pacedWay = time.Millisecond
)

func newPacedLoad(hosts, upstreams, domains int) *pacedLoad {
	l := &pacedLoad{
		random: rand.New(rand.NewPCG(1, 2)), now: start, domains: domains, publishEvery: 20 * time.Millisecond, applyEvery: 50 * time.Millisecond, first: 1, number: map[string]int{}, choose: (*pacedLoad).pick,
		published: make([]int, upstreams), paces: make([]int, upstreams), pacesAt: make([]time.Time, upstreams),
		publishedPaces: make([]int, upstreams), publishedAt: make([]time.Time, upstreams), running: make([]int, upstreams),
	}
	for i := range upstreams {
		u := upstream.Upstream{Name: name(i), Kind: upstream.Service, Service: "s", FailureDomain: domainName(i % domains), Slots: pacedSlots}
		l.number[u.Name] = i
		l.upstreams = append(l.upstreams, u)
		l.free = append(l.free, make([]time.Time, pacedSlots))
		l.lasting = append(l.lasting, 1)
	}
	for i := range hosts {
		p := picker.NewPicker(uint64(i + 1))
		p.SetUpstreams(l.upstreams, start)
		l.hosts = append(l.hosts, p)
		l.own = append(l.own, make([]int, upstreams))
		l.told = append(l.told, make([]int, upstreams))
	}
	return l
}

// play lets calls arrive at random at a rate for a time.
func (l *pacedLoad) play(perSecond float64, length time.Duration) {
	arrival := l.now
	for stop := l.now.Add(length); l.now.Before(stop); l.now = l.now.Add(time.Millisecond) {
		l.end()
		l.tell()
		for !arrival.After(l.now) {
			arrival = arrival.Add(time.Duration(l.random.ExpFloat64() / perSecond * float64(time.Second)))
			l.call()
		}
	}
}

func (l *pacedLoad) pick(host int) int {
	u, ok := l.hosts[host].Pick(l.now, demand.Demand{Service: "s", FailureDomain: domainName(host % l.domains), Tried: l.tried})
	if !ok {
		return l.random.IntN(len(l.upstreams))
	}
	return l.number[u.Name]
}

func domainName(i int) string { return fmt.Sprint("d", i) }

// inTurn chooses the upstreams in turn.
func (l *pacedLoad) inTurn(int) int {
	l.next++
	return l.next % len(l.upstreams)
}

// leastLoaded chooses the upstream with the fewest calls by the counts that a host knows.
func (l *pacedLoad) leastLoaded(host int) int {
	best, least, ties := 0, -1, 0
	for i := range l.upstreams {
		n := l.own[host][i] + max(l.published[i]-l.own[host][i], 0)
		if least < 0 || n < least {
			best, least, ties = i, n, 1
		} else if n == least {
			ties++
			if l.random.IntN(ties) == 0 {
				best = i
			}
		}
	}
	return best
}

func (l *pacedLoad) call() {
	h := l.random.IntN(len(l.hosts))
	u := l.choose(l, h)
	if l.slow(u, l.now) > 1.5 && l.fastFree() {
		l.missed++
	}
	l.hosts[h].Started(l.upstreams[u].Name)
	l.own[h][u]++
	l.running[u]++
	slots := l.free[u]
	slices.SortFunc(slots, time.Time.Compare)
	begun := later(slots[0], l.now.Add(pacedWay))
	slots[0] = l.finished(u, begun)
	l.calls = append(l.calls, pacedCall{sent: l.now, ends: slots[0].Add(pacedWay), host: h, to: u})
}

// finished returns when work that begins at a time has finished; it goes on at the pace of each moment.
func (l *pacedLoad) finished(u int, at time.Time) time.Time {
	const step = time.Millisecond
	left := float64(pacedWork) * l.lasting[u] * (0.8 + 0.4*l.random.Float64())
	for left > 0 {
		left -= float64(step) / l.slow(u, at)
		at = at.Add(step)
	}
	return at
}

// fastFree reports whether an upstream that is not slow has a free slot.
func (l *pacedLoad) fastFree() bool {
	for u, n := range l.running {
		if n < pacedSlots && l.slow(u, l.now) <= 1.5 {
			return true
		}
	}
	return false
}

// end ends the calls that have ended by now.
func (l *pacedLoad) end() {
	l.calls = slices.DeleteFunc(l.calls, func(c pacedCall) bool {
		if c.ends.After(l.now) {
			return false
		}
		l.running[c.to]--
		l.own[c.host][c.to]--
		if l.ended != nil {
			l.ended(c.host, c.to)
		}
		r := loadreport.Report{
			Upstream: l.upstreams[c.to].Name, Running: min(l.running[c.to], pacedSlots), Waiting: max(l.running[c.to]-pacedSlots, 0),
		}
		if l.reports {
			r.Pace = int(loadreport.UsualPace * l.slow(c.to, l.now))
			l.paces[c.to], l.pacesAt[c.to] = r.Pace, l.now
		}
		took := c.ends.Sub(c.sent)
		l.hosts[c.host].Report(r, l.now)
		l.hosts[c.host].Finished(r.Upstream, outcome.Succeeded, time.Duration(l.first*float64(took)), l.now)
		l.took = append(l.took, took)
		return true
	})
}

// tell publishes the counts and paces of the hosts, and lets the hosts apply what is published.
func (l *pacedLoad) tell() {
	t := l.now.Sub(start)
	if t%l.publishEvery == 0 {
		copy(l.published, l.running)
		copy(l.publishedPaces, l.paces)
		copy(l.publishedAt, l.pacesAt)
	}
	for h, p := range l.hosts {
		if (t+time.Duration(h*7)*time.Millisecond)%l.applyEvery != 0 {
			continue
		}
		for i, u := range l.upstreams {
			if n := max(l.published[i]-l.own[h][i], 0); n != l.told[h][i] {
				l.told[h][i] = n
				p.SetPeerRequests(u.Name, n, l.now)
			}
			if l.now.Sub(l.publishedAt[i]) < 300*time.Millisecond {
				p.SetPace(u.Name, l.publishedPaces[i], l.publishedAt[i])
			}
		}
	}
}

// summary returns the share of missed calls and quantiles of the times that answers took.
func (l *pacedLoad) summary() string {
	return fmt.Sprintf("%d answers, %.4f within 300 ms, %.3f to a slow upstream while a fast one had a slot, p50 %v p90 %v p99 %v", len(l.took),
		l.share(300*time.Millisecond), l.missedShare(), quantile(l.took, .5), quantile(l.took, .9), quantile(l.took, .99))
}

// share returns the share of answers that took a time at most.
func (l *pacedLoad) share(limit time.Duration) float64 {
	n := 0
	for _, d := range l.took {
		if d <= limit {
			n++
		}
	}
	return float64(n) / float64(len(l.took))
}

func (l *pacedLoad) missedShare() float64 { return float64(l.missed) / float64(len(l.took)) }

// byTurns makes two of four upstreams four times as slow by turns of 2.5 s.
func byTurns(u int, at time.Time) float64 {
	if (int(at.Sub(start)/(2500*time.Millisecond))+u)%2 == 0 {
		return 4
	}
	return 1
}

// TestCallsAvoidUpstreamsThatAreSlowNow guards against calls that go to an upstream that reports that it is slow while a fast one
// has a free slot.
func TestCallsAvoidUpstreamsThatAreSlowNow(t *testing.T) {
	is := is.New(t)
	play := func(reports bool, choose func(*pacedLoad, int) int) *pacedLoad {
		l := newPacedLoad(6, 4, 1)
		l.slow, l.reports, l.choose = byTurns, reports, choose
		l.play(100, 60*time.Second)
		return l
	}
	turn := play(false, (*pacedLoad).inTurn)
	least := play(false, (*pacedLoad).leastLoaded)
	three := play(false, (*pacedLoad).pick)
	four := play(true, (*pacedLoad).pick)
	t.Logf("in turn:       %s", turn.summary())
	t.Logf("least loaded:  %s", least.summary())
	t.Logf("three figures: %s", three.summary())
	t.Logf("four figures:  %s", four.summary())
	is.True(four.missedShare() < 0.1)
	is.True(quantile(four.took, .9) <= 200*time.Millisecond)
	is.True(four.missedShare() < least.missedShare() && four.missedShare() < turn.missedShare())
}

// TestUnevenUpstreamsWithSlowPhases plays 90 upstreams of uneven lasting speed of which 15 in 100 are slow at any moment. It guards
// against answers that come later with the reported pace than without it, whatever the number of hosts.
func TestUnevenUpstreamsWithSlowPhases(t *testing.T) {
	const upstreams, phase = 90, 600 * time.Millisecond
	slow := func(u int, at time.Time) float64 {
		n := uint64(at.Sub(start)+time.Duration(u)*67*time.Millisecond) / uint64(phase)
		h := (n*1000003 + uint64(u)*7919) * 0x9e3779b97f4a7c15
		if (h>>33)%100 < 15 {
			return 2.5
		}
		return 1
	}
	for _, hosts := range []int{6, 60} {
		for _, rate := range []float64{1800, 3600} {
			t.Run(fmt.Sprintf("hosts=%d/rate=%v", hosts, rate), func(t *testing.T) {
				play := func(reports bool) *pacedLoad {
					l := newPacedLoad(hosts, upstreams, 1)
					for i := range l.lasting {
						l.lasting[i] = 1 / (0.55 + 0.65*float64(i*37%upstreams)/(upstreams-1))
					}
					l.slow, l.reports = slow, reports
					l.play(rate, 3*time.Second)
					l.took, l.missed = nil, 0
					l.play(rate, 5*time.Second)
					return l
				}
				three, four := play(false), play(true)
				t.Logf("three figures: %s", three.summary())
				t.Logf("four figures:  %s", four.summary())
				is := is.New(t)
				is.True(quantile(four.took, .99) <= quantile(three.took, .99))
				is.True(quantile(four.took, .9)*100 <= quantile(three.took, .9)*95)
				is.True(quantile(four.took, .5) <= quantile(three.took, .5))
			})
		}
	}
}
