package picker_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/data/demand"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/routing/picker"
	"siskinrun/internal/routing/subset"
)

// preferringPicker returns a picker that has learned its rate of calls, and its four preferred upstreams of 40.
func preferringPicker(is *is.I) (*picker.Picker, []upstream.Upstream, map[string]bool) {
	p := picker.NewPicker(1)
	p.Preferred = &subset.Chooser{Host: "h", FailureDomain: "d0", KeepTime: func() time.Duration { return time.Second }}
	l := fleet(40, 3)
	p.SetUpstreams(l, start)
	names := map[string]bool{}
	for _, i := range p.Preferred.Order(l)[:4] {
		names[l[i].Name] = true
	}
	n := 0
	for i := range 100 {
		u, ok := p.Pick(start.Add(time.Duration(i)*300*time.Millisecond), demand.Demand{Service: "llm", Model: "m", FailureDomain: "d0"})
		is.True(ok)
		if names[u.Name] {
			n++
		}
	}
	is.True(n > 80) // 10 without a preference
	preferred, others, size := p.Preferences()
	is.Equal(size, 4)
	is.True(preferred > 80 && preferred+others <= 100) // calls before the first update have no preference
	return p, l, names
}

// TestPreferredUpstreamsGiveWay guards against calls that wait at a preferred upstream, or fail with it, while others have free slots.
func TestPreferredUpstreamsGiveWay(t *testing.T) {
	later := start.Add(time.Minute)
	pick := func(is *is.I, p *picker.Picker, names map[string]bool) {
		for i := range 50 {
			u, ok := p.Pick(later.Add(time.Duration(i)*time.Second), demand.Demand{Service: "llm", Model: "m", FailureDomain: "d0"})
			is.True(ok)
			is.True(!names[u.Name])
		}
	}
	t.Run("full", func(t *testing.T) {
		is := is.New(t)
		p, l, names := preferringPicker(is)
		for _, u := range l {
			if names[u.Name] {
				p.SetPeerRequests(u.Name, u.Slots, later)
			}
		}
		pick(is, p, names)
	})
	t.Run("evacuated", func(t *testing.T) {
		is := is.New(t)
		p, _, names := preferringPicker(is)
		p.Gate = closedNames(names)
		p.Reopen(later)
		pick(is, p, names)
	})
	t.Run("cold", func(t *testing.T) {
		is := is.New(t)
		p, _, names := preferringPicker(is)
		p.Limits = coldNames(names)
		pick(is, p, names)
	})
	t.Run("leaving", func(t *testing.T) {
		is := is.New(t)
		p, l, names := preferringPicker(is)
		for i := range l {
			l[i].Leaving = names[l[i].Name]
		}
		p.SetUpstreams(l, later)
		pick(is, p, names)
	})
}

// closedNames is a gate that is closed for some upstreams.
type closedNames map[string]bool

// Open reports whether an upstream may get work.
func (c closedNames) Open(u upstream.Upstream) bool { return !c[u.Name] }

// coldNames are limits of some upstreams, which have permits.
type coldNames map[string]bool

// Next returns a permit at once and a reserve of which a little is used.
func (c coldNames) Next(name string, _ uint64, now time.Time) (time.Time, float64) {
	if c[name] {
		return now, 0.01
	}
	return now, 0
}

// Named reports whether an upstream is cold.
func (c coldNames) Named(name string, _ uint64) bool { return c[name] }
