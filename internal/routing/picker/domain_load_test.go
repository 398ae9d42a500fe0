package picker_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/upstream"
)

const (
	// domainDeadline is the time that callers wait for their whole answer.
	domainDeadline = 400 * time.Millisecond
	loadDomains    = 3
	// betweenDomains is the added time of a call and its answer between domains.
	betweenDomains = 2800 * time.Microsecond
	// returnWithin is the time in which calls stay again once a domain has capacity.
	returnWithin = 1500 * time.Millisecond
	// paceKnown is the time after which all hosts know that upstreams report their pace; before, the constant holds.
	paceKnown = time.Second
	// lossKnown is the time after which all hosts know that an upstream is lost.
	lossKnown = 1500 * time.Millisecond
)

// domainLoad plays calls in several failure domains, each with a load of its own.
type domainLoad struct {
	*pacedLoad
	// arrivals draws the calls, the same for all ways of choosing.
	arrivals *rand.Rand
	// load returns the load of a domain at a time relative to what its upstreams bear.
	load func(domain int, at time.Duration) float64
	// lost returns whether an upstream answers nothing at a time.
	lost func(u int, at time.Duration) bool

	// present is the number of upstreams that hosts know of.
	present int

	sent, answered, left [loadDomains]int
	// needless counts the calls that left a domain whose callers had used less than seven tenths of it for returnWithin.
	needless int
	// shares are the shares of the first domain's calls that left, for each half second.
	window, windowLeft int
	shares             []float64
}

func newDomainLoad(hosts, upstreams int, traffic *float64) *domainLoad {
	l := &domainLoad{arrivals: rand.New(rand.NewPCG(3, 4)), pacedLoad: newPacedLoad(hosts, upstreams, loadDomains)}
	l.reports = true
	l.slow = func(int, time.Time) float64 { return 1 }
	l.lost = func(int, time.Duration) bool { return false }
	for _, p := range l.hosts {
		p.LocalityWeight = 0.3
		p.DomainTraffic = traffic
	}
	return l
}

// run plays calls for a time.
func (l *domainLoad) run(length time.Duration) {
	var next [loadDomains]time.Time
	perDomain := float64(len(l.upstreams)/loadDomains*pacedSlots) / pacedWork.Seconds()
	for d := range next {
		next[d] = l.now
	}
	for stop := l.now.Add(length); l.now.Before(stop); l.now = l.now.Add(time.Millisecond) {
		l.end()
		l.tell()
		l.removeLost()
		at := l.now.Sub(start)
		if at%(500*time.Millisecond) == 0 && l.window > 0 {
			l.shares = append(l.shares, float64(l.windowLeft)/float64(l.window))
			l.window, l.windowLeft = 0, 0
		}
		first := l.arrivals.IntN(loadDomains)
		for i := range next {
			d := (first + i) % loadDomains
			for !next[d].After(l.now) {
				rate := perDomain * l.load(d, at)
				next[d] = next[d].Add(time.Duration(l.arrivals.ExpFloat64() / rate * float64(time.Second)))
				l.callFrom(d)
			}
		}
	}
}

// removeLost removes the upstreams whose loss has become known.
func (l *domainLoad) removeLost() {
	at := l.now.Sub(start) - lossKnown
	var left []upstream.Upstream
	for u := range l.upstreams {
		if !l.lost(u, at) {
			left = append(left, l.upstreams[u])
		}
	}
	if len(left) == l.present {
		return
	}
	l.present = len(left)
	for _, p := range l.hosts {
		p.SetUpstreams(left, l.now)
	}
}

// callFrom sends a call of a caller in a domain.
func (l *domainLoad) callFrom(d int) {
	h := l.arrivals.IntN(len(l.hosts)/loadDomains)*loadDomains + d
	l.sent[d]++
	if len(l.calls) >= 2*len(l.upstreams)*pacedSlots {
		return // refused, as no upstream would answer it in time
	}
	u := l.reach(h)
	away := u%loadDomains != d
	if d == 0 {
		l.window++
	}
	way := pacedWay
	if away {
		l.left[d]++
		way += betweenDomains / 2
		if d == 0 {
			l.windowLeft++
		}
		if at := l.now.Sub(start); at > paceKnown && l.offered(d, at) < 0.7 && l.offered(d, at-returnWithin) < 0.7 {
			l.needless++
		}
	}
	if l.lost(u, l.now.Sub(start)) {
		return
	}
	first := 0
	for i, t := range l.free[u] {
		if t.Before(l.free[u][first]) {
			first = i
		}
	}
	begun := later(l.free[u][first], l.now.Add(way))
	deadline := l.now.Add(domainDeadline)
	if begun.Add(pacedWork).After(deadline) { // refused as soon as it is known that it can't be answered in time
		l.begin(h, u, deadline)
		return
	}
	ends := l.finished(u, begun)
	if !ends.Add(way).After(deadline) {
		l.answered[d]++
	} else {
		ends = deadline
	}
	l.free[u][first] = ends
	l.begin(h, u, ends.Add(way))
}

// begin counts a call at an upstream until it ends.
func (l *domainLoad) begin(h, u int, ends time.Time) {
	l.hosts[h].Started(l.upstreams[u].Name)
	l.own[h][u]++
	l.running[u]++
	l.calls = append(l.calls, pacedCall{sent: l.now, ends: ends, host: h, to: u})
}

// reach chooses an upstream, at most three times if connections to it fail.
func (l *domainLoad) reach(h int) int {
	u := 0
	l.tried = l.tried[:0]
	for range 3 {
		u = l.choose(l.pacedLoad, h)
		if !l.lost(u, l.now.Sub(start)) {
			break
		}
		l.tried = append(l.tried, l.upstreams[u].Name)
		l.hosts[h].Started(l.upstreams[u].Name)
		l.hosts[h].Finished(l.upstreams[u].Name, outcome.Unreachable, 0, l.now)
	}
	return u
}

// offered returns the load of a domain's callers at a time relative to what its upstreams bear that are not lost.
func (l *domainLoad) offered(d int, at time.Duration) float64 {
	left, all := 0, 0
	for u := d; u < len(l.upstreams); u += loadDomains {
		all++
		if !l.lost(u, at) {
			left++
		}
	}
	return l.load(d, at) * float64(all) / float64(max(left, 1))
}

// twoOf chooses the upstream with fewer calls of two random ones, of the own domain or of the others.
func twoOf(l *pacedLoad, host int, away bool) int {
	best := -1
	for range 2 {
		u := 0
		for range 8 {
			u = l.ownOrOther(host, away)
			if l.gone == nil || !l.gone(u, l.now.Sub(start)-lossKnown) {
				break
			}
		}
		if best < 0 || l.known(host, u) < l.known(host, best) {
			best = u
		}
	}
	return best
}

// ownOrOther returns a random upstream of the own domain or of the others.
func (l *pacedLoad) ownOrOther(host int, away bool) int {
	d := host
	if away {
		d += 1 + l.random.IntN(l.domains-1)
	}
	return l.random.IntN(len(l.upstreams)/l.domains)*l.domains + d%l.domains
}

// known returns the calls at an upstream that a host knows of.
func (l *pacedLoad) known(host, u int) int {
	return max(l.published[u], l.own[host][u])
}

func stay(l *pacedLoad, host int) int  { return twoOf(l, host, false) }
func leave(l *pacedLoad, host int) int { return twoOf(l, host, true) }

// nearestFirst leaves the domain if it knows of no free slot there.
func nearestFirst(l *pacedLoad, host int) int {
	for u := host % l.domains; u < len(l.upstreams); u += l.domains {
		if l.known(host, u) < pacedSlots {
			return twoOf(l, host, false)
		}
	}
	return twoOf(l, host, true)
}

// domainLoads are the loads of the domains relative to what their upstreams bear.
var domainLoads = []struct {
	name string
	load func(d int, at time.Duration) float64
	lost func(u int, at time.Duration) bool
}{
	{"even", func(int, time.Duration) float64 { return 0.6 }, nil},
	{"full everywhere", func(int, time.Duration) float64 { return 1.1 }, nil},
	{"uneven", func(d int, _ time.Duration) float64 { return []float64{1.4, 0.4, 0.4}[d] }, nil},
	{"two full", func(d int, _ time.Duration) float64 { return []float64{1.2, 1.2, 0.3}[d] }, nil},
	{"step", func(d int, at time.Duration) float64 {
		if d == 0 && at > 2*time.Second && at < 6*time.Second {
			return 1.5
		}
		return 0.4
	}, nil},
	{"upstreams lost", func(int, time.Duration) float64 { return 0.5 }, func(u int, at time.Duration) bool {
		return u%loadDomains == 0 && u/loadDomains%3 != 0 && at > 2*time.Second
	}},
}

// TestLeavingTheDomainPays guards against callers of any domain who are served worse than by always staying, always leaving or
// going to the nearest first, against more bytes than always leaving, and against traffic that goes on once the own domain has
// capacity.
func TestLeavingTheDomainPays(t *testing.T) {
	const length = 9 * time.Second
	for _, size := range []struct {
		hosts, upstreams int
		age              time.Duration
	}{{6, 9, 20 * time.Millisecond}, {60, 30, 150 * time.Millisecond}, {300, 30, 150 * time.Millisecond}} {
		for _, c := range domainLoads {
			t.Run(fmt.Sprintf("%d hosts/%v/%s", size.hosts, size.age, c.name), func(t *testing.T) {
				play := func(choose func(*pacedLoad, int) int, traffic *float64) *domainLoad {
					l := newDomainLoad(size.hosts, size.upstreams, traffic)
					l.load, l.choose, l.publishEvery = c.load, choose, size.age
					if c.lost != nil {
						l.lost, l.gone = c.lost, c.lost
					}
					l.run(length)
					return l
				}
				traffic := 10.0
				got := play((*pacedLoad).pick, &traffic)
				baselines := []*domainLoad{play(stay, nil), play(leave, nil), play(nearestFirst, nil)}
				for i, l := range append(baselines, got) {
					t.Logf("%-13s answered %.3f, left %.3f, needless %d, shares %.2f",
						[]string{"stay", "leave", "nearest first", "decision"}[i], l.rates(l.answered), l.rates(l.left), l.needless, l.shares)
				}
				is := is.New(t)
				for d := range loadDomains {
					for _, b := range baselines {
						is.True(got.rates(got.answered)[d] >= b.rates(b.answered)[d]-0.02)
					}
					is.True(got.left[d] <= baselines[1].left[d])
				}
				is.True(got.needless*20 <= got.sent[0]+got.sent[1]+got.sent[2])
			})
		}
	}
}

// rates returns counts of each domain relative to its calls.
func (l *domainLoad) rates(n [loadDomains]int) [loadDomains]float64 {
	var r [loadDomains]float64
	for d := range n {
		r[d] = float64(n[d]) / float64(l.sent[d])
	}
	return r
}
