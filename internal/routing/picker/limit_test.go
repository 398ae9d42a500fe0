package picker_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/picker"
)

// fixedLimits are the times of the next permits and the used reserves of upstreams by name.
type fixedLimits struct {
	next map[string]time.Time
	used map[string]float64
}

func (f fixedLimits) Next(name string, _ uint64, _ time.Time) (time.Time, float64) {
	return f.next[name], f.used[name]
}

// Named reports whether an upstream has either.
func (f fixedLimits) Named(name string, _ uint64) bool {
	_, next := f.next[name]
	_, used := f.used[name]
	return next || used
}

func newLimitedPicker(n int, l fixedLimits, now time.Time) *picker.Picker {
	c := picker.NewPicker(1)
	c.Limits = l
	var u []upstream.Upstream
	for i := range n {
		u = append(u, upstream.Upstream{Name: fmt.Sprint("u", i), Service: "s", Version: fmt.Sprint("v", i%2), Slots: 2})
	}
	c.SetUpstreams(u, now)
	return c
}

// TestUpstreamWithoutAPermitIsNotPicked guards against picks that no permit follows, also where the prompt or the version
// leads to the upstream.
func TestUpstreamWithoutAPermitIsNotPicked(t *testing.T) {
	for _, n := range []int{4, 40} {
		is := is.New(t)
		now := time.Now()
		l := fixedLimits{next: map[string]time.Time{}}
		for i := range n - 2 {
			l.next[fmt.Sprint("u", i)] = now.Add(time.Duration(n-i) * time.Second)
		}
		c := newLimitedPicker(n, l, now)
		for i := range 200 {
			u, ok := c.Pick(now, demand.Demand{Service: "s", PrefixHashes: []uint64{uint64(i)}})
			is.True(ok)
			is.True(!l.next[u.Name].After(now))
		}
		u, ok := c.Pick(now, demand.Demand{Service: "s", Version: "v0"})
		is.True(ok)
		is.Equal(u.Name, fmt.Sprint("u", n-2))
		_, ok = c.Pick(now, demand.Demand{Service: "s", Version: "v0", Tried: []string{u.Name}})
		is.True(!ok)
		u, at, ok := c.Soonest(now, demand.Demand{Service: "s", Version: "v0", Tried: []string{u.Name}})
		is.True(ok)
		is.Equal(u.Name, fmt.Sprint("u", n-4))
		is.Equal(at, now.Add(4*time.Second))
	}
}

// TestReserveIsUsedWhenOthersAreFull guards against a limited upstream that is shunned, and against one that spends what it
// needs in a burst.
func TestReserveIsUsedWhenOthersAreFull(t *testing.T) {
	is := is.New(t)
	now := time.Now()
	l := fixedLimits{used: map[string]float64{"u0": 0.9}}
	c := newLimitedPicker(2, l, now)
	for range 2 {
		u, _ := c.Pick(now, demand.Demand{Service: "s"})
		is.Equal(u.Name, "u1")
		c.Started(u.Name)
	}
	c.Started("u1")
	u, _ := c.Pick(now, demand.Demand{Service: "s"})
	is.Equal(u.Name, "u0")
	l.used["u0"] = 0
	picked := map[string]int{}
	c = newLimitedPicker(2, l, now)
	for range 200 {
		u, _ := c.Pick(now, demand.Demand{Service: "s"})
		picked[u.Name]++
		c.Started(u.Name)
	}
	is.True(picked["u0"] >= 90)
}
