package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/membership"
)

func newUpstream(incarnation uint64, address string, age time.Duration) upstream.Upstream {
	return upstream.Upstream{
		Name: "u", Address: address, Service: "s", Incarnation: incarnation, Age: duration.Duration(age),
	}
}

func newView() *membership.Membership {
	return membership.NewMembership("a", "d", 1, []string{"a", "b", "c"}, 1)
}

var start = time.Unix(1000, 0)

func TestPrecedence(t *testing.T) {
	leaving := newUpstream(2, "x", 0)
	leaving.Leaving = true
	for _, c := range []struct {
		name          string
		first, second upstream.Upstream
		want          upstream.Upstream
	}{
		{"older incarnation", newUpstream(2, "x", 0), newUpstream(1, "x", 0), newUpstream(2, "x", 0)},
		{"newer incarnation", newUpstream(2, "x", 0), newUpstream(3, "y", 0), newUpstream(3, "y", 0)},
		{"ended incarnation", leaving, newUpstream(2, "x", 0), leaving},
		{"restart after a leave", leaving, newUpstream(3, "x", 0), newUpstream(3, "x", 0)},
		{"same incarnation, other address", newUpstream(2, "y", 0), newUpstream(2, "x", 0), newUpstream(2, "x", 0)},
		{"same incarnation, higher address", newUpstream(2, "x", 0), newUpstream(2, "y", 0), newUpstream(2, "x", 0)},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := newView()
			m.Announce(start, c.first)
			m.Announce(start.Add(time.Second), c.second)
			l := m.Upstreams(start.Add(time.Second))
			is.Equal(len(l), 1)
			l[0].Age = 0
			is.Equal(l[0], c.want)
		})
	}
}

func TestLeaveOfUnknownUpstreamIsRemembered(t *testing.T) {
	is := is.New(t)
	m := newView()
	is.True(m.Leave(start, "u", 4))
	is.True(!m.Announce(start.Add(time.Minute), newUpstream(4, "x", 0)))
	is.Equal(len(m.Upstreams(start.Add(time.Minute))), 0)
	is.True(m.Announce(start.Add(time.Minute), newUpstream(5, "x", 0)))
}

func TestLeaveFromHostThatNeverSawTheUpstreamKeepsItsAddress(t *testing.T) {
	is := is.New(t)
	n := time.Unix(0, 0)
	a, b := newView(), membership.NewMembership("b", "d", 1, []string{"a"}, 1)
	is.True(a.Announce(n, newUpstream(1, "x", 0)))
	is.True(b.Leave(n, "u", 1))
	u, ok := b.TakeUrgent(n)
	is.True(ok)
	a.ApplyPush(n, u)
	l := a.Upstreams(n)
	is.Equal(len(l), 1)
	is.True(l[0].Leaving)
	is.Equal(l[0].Address, "x")
	// A leave of a later incarnation does not take over the address of the earlier one.
	is.True(b.Leave(n, "u", 2))
	u, _ = b.TakeUrgent(n)
	a.ApplyPush(n, u)
	is.Equal(len(a.Upstreams(n)), 0)
}

func TestNewestIncarnationWinsAddress(t *testing.T) {
	is := is.New(t)
	m := newView()
	u, v := newUpstream(1, "x", 0), newUpstream(2, "x", 0)
	v.Name = "v"
	m.Announce(start, u)
	m.Announce(start, v)
	l := m.Upstreams(start)
	is.Equal(len(l), 1)
	is.Equal(l[0].Name, "v")
}

// Guards against announcements that outlive their expiry because a relay restarts their age. Each hop adds the time
// since its digest was sent.
func TestAgeAccumulatesOverRelays(t *testing.T) {
	is := is.New(t)
	at := func(s int) time.Time { return start.Add(time.Duration(s) * time.Second) }
	a := newView()
	b := membership.NewMembership("b", "d", 1, []string{"a", "b", "c"}, 1)
	c := membership.NewMembership("c", "d", 1, []string{"a", "b", "c"}, 1)
	a.Announce(at(0), newUpstream(1, "x", time.Second))
	b.ApplyAnswer(at(4), at(2), a.Answer(at(3), b.Digest()))
	c.ApplyAnswer(at(6), at(5), b.Answer(at(6), c.Digest()))
	l := c.Upstreams(at(6))
	is.Equal(len(l), 1)
	is.Equal(l[0].Age.Duration(), 9*time.Second)
	is.Equal(len(c.Upstreams(at(7))), 1)
	is.Equal(len(c.Upstreams(at(8))), 0)
}

func TestTruncatedAnswersResume(t *testing.T) {
	is := is.New(t)
	a := newView()
	for i := range 5000 {
		u := newUpstream(1, fmt.Sprint("x", i), 0)
		u.Name = fmt.Sprint("u", i)
		a.Announce(start, u)
	}
	b := membership.NewMembership("b", "d", 1, []string{"a", "b", "c"}, 1)
	for range 3 {
		b.ApplyAnswer(start, start, a.Answer(start, b.Digest()))
	}
	is.Equal(len(b.Upstreams(start)), 5000)
	n := a.Answer(start, b.Digest())
	is.Equal(len(n.Announcements), 0)
	is.True(slices.ContainsFunc(n.Hosts, func(h gossipmessage.Host) bool { return h.Name == "a" && h.Sequence == 5000 }))
}

func TestVersionOfAnIncarnation(t *testing.T) {
	for _, c := range []struct {
		name     string
		versions []string
		want     string
	}{
		{"the same each time", []string{"v1", "v1"}, "v1"},
		{"a host that knows no version repeats it", []string{"v1", ""}, "v1"},
		{"named later", []string{"", "v1"}, "v1"},
		{"two versions", []string{"v1", "v2", "v1"}, ""},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := membership.NewMembership("a", "d", 1, nil, 1)
			now := time.Unix(100, 0)
			for i, v := range c.versions {
				now = now.Add(membership.RenewalAge)
				m.Announce(now, upstream.Upstream{Name: "u", Address: "x", Service: "s", Incarnation: 1, Sequence: uint64(i + 1), Version: v})
			}
			is.Equal(m.Upstreams(now)[0].Version, c.want)
			m.Announce(now, upstream.Upstream{Name: "u", Address: "x", Service: "s", Incarnation: 2, Version: "v3"})
			m.Announce(now, upstream.Upstream{Name: "u", Address: "x", Service: "s", Incarnation: 1, Sequence: 9, Version: "v1"})
			is.Equal(m.Upstreams(now)[0].Version, "v3")
		})
	}
}
