package picker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/outcome"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/evacuation"
	"siskinrun/internal/routing/picker"
)

// TestEvacuatedUpstreamIsNotPicked guards against each way in which an upstream is chosen: at random, in the own failure
// domain, by the prefix that it holds, by the hash of a prompt, as a probe, by a scan of all, and for its next permit.
func TestEvacuatedUpstreamIsNotPicked(t *testing.T) {
	for _, n := range []int{4, 60} {
		is := is.New(t)
		now := time.Now()
		g := &evacuation.Gate{}
		c := picker.NewPicker(1)
		c.Gate = g
		c.Limits = fixedLimits{next: map[string]time.Time{}}
		var l []upstream.Upstream
		for i := range n {
			l = append(l, upstream.Upstream{
				Name: fmt.Sprint("u", i), Service: "s", Models: []string{"m"}, Version: "v", FailureDomain: fmt.Sprint("d", i%3), Slots: 2,
			})
		}
		c.SetUpstreams(l, now)
		_, ok := c.Pick(now, demand.Demand{Service: "s"})
		is.True(!ok) // no configuration is known
		g.Set(nil)
		c.Reopen(now)
		prompts := [][]uint64{}
		for i := range 200 {
			prompts = append(prompts, []uint64{uint64(i), uint64(i) + 1000, uint64(i) + 2000})
		}
		held := map[string]bool{}
		for _, p := range prompts { // each upstream holds some prefixes
			u, ok := c.Pick(now, demand.Demand{Service: "s", Model: "m", PrefixHashes: p})
			is.True(ok)
			held[u.FailureDomain] = true
		}
		is.True(held["d0"])
		for i := range n { // those of d0 and d1 are ejected and due a probe
			for range 20 {
				if i%3 != 2 {
					c.Started(fmt.Sprint("u", i))
					c.Finished(fmt.Sprint("u", i), outcome.Failed, 0, now)
				}
			}
		}
		g.Set(map[string]bool{"d0": true})
		c.Reopen(now)
		for i, p := range prompts {
			at := now.Add(time.Duration(i) * 100 * time.Millisecond)
			for _, d := range []demand.Demand{
				{Service: "s", FailureDomain: "d0", Repeatable: true},
				{Service: "s", Model: "m", FailureDomain: "d0", PrefixHashes: p, Repeatable: true},
				{Service: "s", Version: "v", FailureDomain: "d0", Repeatable: true},
			} {
				if u, ok := c.Pick(at, d); ok {
					is.True(u.FailureDomain != "d0")
				}
				if u, _, ok := c.Soonest(at, d); ok {
					is.True(u.FailureDomain != "d0")
				}
			}
		}
		// All evacuated: also a scan finds none, and one that announces itself there gets nothing.
		g.Set(map[string]bool{"d0": true, "d1": true, "d2": true})
		c.Reopen(now)
		c.SetUpstreams(append(l, upstream.Upstream{Name: "new", Service: "s", FailureDomain: "d1", Slots: 2}), now)
		_, ok = c.Pick(now, demand.Demand{Service: "s"})
		is.True(!ok)
		is.True(!c.Serves(demand.Demand{Service: "s"}))
		// One that announces itself under the same name from another failure domain is not evacuated.
		g.Set(map[string]bool{"d0": true})
		c.Reopen(now)
		l[0].Incarnation, l[0].FailureDomain = 1, "d2"
		c.SetUpstreams(l[:1], now)
		u, ok := c.Pick(now, demand.Demand{Service: "s"})
		is.True(ok)
		is.Equal(u.Name, "u0")
		is.NoErr(c.Check())
	}
}

// TestUpstreamsWarmUpAfterAnEvacuation guards against the whole load on upstreams that may have gone cold meanwhile.
func TestUpstreamsWarmUpAfterAnEvacuation(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	g := &evacuation.Gate{}
	c := picker.NewPicker(1)
	c.Gate = g
	var l []upstream.Upstream
	for i := range 4 {
		l = append(l, upstream.Upstream{Name: fmt.Sprint("u", i), Service: "s", FailureDomain: fmt.Sprint("d", i%2), Slots: 10})
	}
	c.SetUpstreams(l, now)
	g.Set(nil)
	c.Reopen(now)
	picks := func(at time.Time) (n int) {
		for _, u := range l {
			c.MarkAlive(u.Name, at)
		}
		for range 20 {
			u, ok := c.Pick(at, demand.Demand{Service: "s"})
			is.True(ok)
			c.Started(u.Name)
			defer c.Finished(u.Name, outcome.Succeeded, time.Millisecond, at)
			if u.FailureDomain == "d0" {
				n++
			}
		}
		return n
	}
	is.Equal(picks(now), 10) // the first configuration is no withdrawal
	g.Set(map[string]bool{"d0": true})
	c.Reopen(now)
	is.Equal(picks(now.Add(time.Minute)), 0)
	g.Set(nil)
	c.Reopen(now.Add(time.Minute))
	n := picks(now.Add(time.Minute))
	is.True(n > 0)
	is.True(n < 5)
	is.Equal(picks(now.Add(2*time.Minute)), 10)
}

// TestPicksAreTheSameWithoutAnEvacuation guards against other decisions where nothing is evacuated.
func TestPicksAreTheSameWithoutAnEvacuation(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	run := func(c *picker.Picker) (names []string) {
		for i := range 2000 {
			at := now.Add(time.Duration(i) * 10 * time.Millisecond)
			if i%50 == 0 {
				var l []upstream.Upstream
				for j := range 30 + i/50%3 {
					l = append(l, upstream.Upstream{Name: fmt.Sprint("u", j), Service: "s", Models: []string{"m"}, FailureDomain: fmt.Sprint("d", j%3), Slots: 4})
				}
				c.SetUpstreams(l, at)
			}
			u, ok := c.Pick(at, demand.Demand{Service: "s", Model: "m", FailureDomain: "d1", PrefixHashes: []uint64{uint64(i % 40)}})
			is.True(ok)
			names = append(names, u.Name)
			c.Started(u.Name)
			o := outcome.Succeeded
			if i%7 == 0 {
				o = outcome.Failed
			}
			if i%3 == 0 {
				c.Finished(u.Name, o, time.Duration(i%13)*time.Millisecond, at)
			}
		}
		return names
	}
	g := &evacuation.Gate{}
	g.Set(map[string]bool{})
	with := picker.NewPicker(7)
	with.Gate = g
	is.Equal(run(with), run(picker.NewPicker(7)))
}
