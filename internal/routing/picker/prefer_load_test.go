package picker_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/routing/picker"
	"siskinrun/internal/routing/subset"
)

const (
	// keepTime is for how long a host uses an idle connection.
	keepTime = 5 * time.Second
	// loadTime is how long a load is played before it is measured, and while it is.
	loadTime = 12 * time.Second
	// cachedPrompts is the number of shared prompts that an upstream keeps.
	cachedPrompts = 12
)

// connectionLoad counts the connections that calls of 0.8 s open, and the prompts that they find cached.
type connectionLoad struct {
	*pacedLoad
	idle [][][]time.Time
	// cache holds the shared prompts of each upstream, the one that was used last at the end.
	cache  [][]uint64
	calls  []int
	opened int
	cached int
}

func newConnectionLoad(hosts, upstreams int, prefer bool) *connectionLoad {
	c := &connectionLoad{pacedLoad: newPacedLoad(hosts, upstreams, 3), cache: make([][]uint64, upstreams), calls: make([]int, upstreams)}
	c.first = 0.25
	c.slow = func(int, time.Time) float64 { return 1 }
	for i := range c.upstreams {
		c.upstreams[i].Models = []string{"m"}
		c.lasting[i] = 8
	}
	for h := range hosts {
		c.idle = append(c.idle, make([][]time.Time, upstreams))
		p := picker.NewPicker(uint64(h + 1))
		p.LocalityWeight = 0.3
		if prefer {
			p.Preferred = &subset.Chooser{
				Host: fmt.Sprint("h", h), FailureDomain: domainName(h % c.domains), KeepTime: func() time.Duration { return keepTime },
			}
		}
		p.SetUpstreams(c.upstreams, start)
		c.hosts[h] = p
	}
	if hosts > 60 {
		c.publishEvery, c.applyEvery = 200*time.Millisecond, 200*time.Millisecond
	}
	c.choose = func(_ *pacedLoad, host int) int { return c.send(host) }
	c.ended = func(host, to int) { c.idle[host][to] = append(c.idle[host][to], c.now) }
	return c
}

// send chooses the upstream of a call: three of ten calls have no prompt, half share theirs with others.
func (c *connectionLoad) send(host int) int {
	d := demand.Demand{Service: "s", Model: "m", FailureDomain: domainName(host % c.domains)}
	prompt, kind := c.random.Uint64(), c.random.Float64()
	shared := kind < 0.5
	if shared {
		prompt = uint64(float64(4*len(c.upstreams)) * c.random.Float64() * c.random.Float64() / 4)
	}
	for b := range uint64(16) {
		if kind < 0.7 {
			d.PrefixHashes = append(d.PrefixHashes, (prompt*16+b+1)*0x9e3779b97f4a7c15)
		}
	}
	u, _ := c.hosts[host].Pick(c.now, d)
	to := c.number[u.Name]
	c.calls[to]++
	c.connect(host, to)
	if shared {
		c.remember(to, prompt)
	}
	return to
}

// connect takes the connection that was used last, or opens one.
func (c *connectionLoad) connect(host, to int) {
	l := c.idle[host][to]
	if n := len(l) - 1; n >= 0 && c.now.Sub(l[n]) < keepTime {
		c.idle[host][to] = l[:n]
		return
	}
	c.idle[host][to] = l[:0]
	c.opened++
}

// remember counts a shared prompt that is cached, and caches it.
func (c *connectionLoad) remember(to int, prompt uint64) {
	l := c.cache[to]
	if i := slices.Index(l, prompt); i >= 0 {
		c.cached++
		l = slices.Delete(l, i, i+1)
	} else if len(l) == cachedPrompts {
		l = slices.Delete(l, 0, 1)
	}
	c.cache[to] = append(l, prompt)
}

// measure plays a load under which four of eight slots are taken, and counts after as long.
func (c *connectionLoad) measure(t *testing.T, title string) {
	perSecond := 5 * float64(len(c.upstreams))
	c.play(perSecond, loadTime)
	c.took, c.opened, c.cached = nil, 0, 0
	clear(c.calls)
	c.play(perSecond, loadTime)
	t.Logf("%s: %d answers, %d connections, busiest upstream %d calls, p50 %v, p99 %v, %d prompts cached",
		title, len(c.took), c.opened, slices.Max(c.calls), quantile(c.took, .5), quantile(c.took, .99), c.cached)
}

// TestPreferredUpstreamsSaveConnections guards against hosts that connect to all upstreams in turn, and against a preference that
// overloads upstreams, delays answers or loses cached prompts.
func TestPreferredUpstreamsSaveConnections(t *testing.T) {
	for _, c := range []struct {
		hosts, upstreams int
		// most is the largest share of the connections that are left.
		most float64
	}{{6, 15, 1.1}, {60, 60, 0.7}, {320, 1200, 0.5}} {
		t.Run(fmt.Sprintf("hosts=%d/upstreams=%d", c.hosts, c.upstreams), func(t *testing.T) {
			is := is.New(t)
			off, on := newConnectionLoad(c.hosts, c.upstreams, false), newConnectionLoad(c.hosts, c.upstreams, true)
			off.measure(t, "without")
			on.measure(t, "with")
			is.True(float64(on.opened) <= c.most*float64(off.opened))
			is.True(float64(slices.Max(on.calls)) <= 1.1*float64(slices.Max(off.calls)))
			is.True(float64(quantile(on.took, .99)) <= 1.05*float64(quantile(off.took, .99)))
			is.True(float64(on.cached) >= 0.99*float64(off.cached))
		})
	}
}
