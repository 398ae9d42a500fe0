package membership_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"siskinrun/internal/base/duration"
	"siskinrun/internal/data/gossipmessage"
	"siskinrun/internal/data/loadreport"
	"siskinrun/internal/data/upstream"
	"siskinrun/internal/fleet/membership"
)

// churn runs a fleet through leaves, restarts, two partitions and late announcements.
func churn(seed uint64, ignoreIncarnations bool) error {
	f := newFleet(seed, 9)
	f.loss = 0.05
	r := f.random
	var names []string
	for i := range 30 {
		names = append(names, fmt.Sprint("u", i))
		f.incarnations[names[i]] = 1
	}
	left := map[string]bool{}
	announceAll := func() error {
		for k, u := range names {
			if !left[u] {
				f.announce(k%9, u, 0)
			}
		}
		return f.run(time.Second)
	}
	for range 3 {
		if err := announceAll(); err != nil {
			return err
		}
	}
	for round := range 2 {
		for i := range f.views {
			f.partition[i] = 0
			if i%3 == round {
				f.partition[i] = 1
			}
		}
		for range 4 {
			u := names[r.IntN(len(names))]
			i := r.IntN(9)
			for f.partition[i] != 0 {
				i = r.IntN(9)
			}
			old := f.incarnations[u]
			f.leave(i, u)
			left[u] = true
			if r.IntN(2) == 0 {
				f.incarnations[u] = old + 1
				left[u] = false
			}
			if err := announceAll(); err != nil {
				return err
			}
			// An announcement of the ended incarnation arrives late at a random host.
			current := f.incarnations[u]
			f.incarnations[u] = old
			if ignoreIncarnations {
				// A host that ignored incarnations would take it for a newer one.
				f.incarnations[u] = current + 1
			}
			f.announce(r.IntN(9), u, time.Duration(r.Int64N(int64(5*time.Second))))
			f.incarnations[u] = current
		}
		if err := announceAll(); err != nil {
			return err
		}
		clear(f.partition)
		f.healedAt = f.now
		if err := converge(f, announceAll); err != nil {
			return err
		}
		if err := f.checkAgreement(len(names) - len(left) + countRestarted(left)); err != nil {
			return err
		}
	}
	return nil
}

// converge runs the fleet without message loss until the views agree.
func converge(f *fleet, announceAll func() error) error {
	l := f.loss
	f.loss = 0
	defer func() { f.loss = l }()
	for range 4 {
		if err := announceAll(); err != nil {
			return err
		}
	}
	return nil
}

func countRestarted(left map[string]bool) int {
	n := 0
	for _, g := range left {
		if !g {
			n++
		}
	}
	return n
}

func TestViewsConvergeAndEndedIncarnationsStayEnded(t *testing.T) {
	for seed := range uint64(40) {
		if err := churn(seed, false); err != nil {
			t.Fatalf("seed %d: %v", seed, err)
		}
	}
}

// TestRevivedUpstreamsAreDetected checks that churn fails if a late announcement revives an ended incarnation.
func TestRevivedUpstreamsAreDetected(t *testing.T) {
	for seed := range uint64(5) {
		is.New(t).True(churn(seed, true) != nil)
	}
}

func TestLeaveSpreadsWithinOnePeriodInALargeFleet(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 320)
	f.loss = 0.02
	f.incarnations["u0"] = 1
	f.announce(0, "u0", 0)
	is.NoErr(f.run(4 * time.Second))
	f.leave(7, "u0")
	left := f.now
	for f.anyUses("u0") {
		is.NoErr(f.run(step))
	}
	t.Logf("320 hosts learned of a leave within %v", f.now.Sub(left))
	is.True(f.now.Sub(left) < period)
}

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

func TestSilentHostIsDeclaredDeadWithinASecond(t *testing.T) {
	for seed := range uint64(20) {
		is := is.New(t)
		f := newFleet(seed, 9)
		is.NoErr(f.run(2 * time.Second))
		f.dead[4] = true
		is.NoErr(f.run(time.Second))
		is.NoErr(f.checkAgreement(0))
		f.dead[4] = false
		is.NoErr(f.run(3 * time.Second))
		is.NoErr(f.checkAgreement(0))
		f.dead[4] = true
		is.NoErr(f.run(time.Second))
		f.boots[4]++
		f.dead[4] = false
		f.start(4)
		is.NoErr(f.run(3 * time.Second))
		is.NoErr(f.checkAgreement(0))
	}
}

func TestIsolatedHostKeepsUpstreams(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 9)
	f.incarnations["u0"] = 1
	f.announce(1, "u0", 0)
	is.NoErr(f.run(2 * time.Second))
	f.partition[0] = 1
	is.NoErr(f.run(membership.Expiry + time.Second))
	is.True(f.views[0].LikelyIsolated())
	is.Equal(len(f.views[0].Upstreams(f.now)), 1)
	is.Equal(len(f.views[1].Upstreams(f.now)), 0)
	is.True(!f.views[1].LikelyIsolated())
}

func TestPeerCountsAddUpAndExpire(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 5)
	for i := range 5 {
		f.views[i].SetInFlight(f.now, "u", i)
	}
	is.NoErr(f.run(2 * period))
	is.Equal(f.views[0].PeersInFlight("u"), 10)
	is.Equal(f.views[4].PeersInFlight("u"), 6)
	f.views[4].SetInFlight(f.now, "u", 0)
	is.NoErr(f.run(2 * period))
	is.Equal(f.views[0].PeersInFlight("u"), 6)
	f.dead[3] = true
	is.NoErr(f.run(membership.CountExpiry + time.Second))
	is.Equal(f.views[0].PeersInFlight("u"), 3)
}

func TestReportsSpreadAndOldReportsAreIgnored(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 5)
	f.views[0].Report(f.now, loadreport.Report{Upstream: "u", Incarnation: 2, Running: 3})
	is.NoErr(f.run(time.Second))
	f.views[1].Report(f.now, loadreport.Report{Upstream: "u", Incarnation: 1, Running: 9})
	f.views[2].Report(f.now, loadreport.Report{Upstream: "u", Incarnation: 2, Running: 8, Age: duration.Duration(5 * time.Second)})
	is.NoErr(f.run(time.Second))
	for _, v := range f.views {
		r, at, ok := v.Load("u")
		is.True(ok)
		is.Equal(r.Running, 3)
		is.True(f.now.Sub(at) >= 2*time.Second)
	}
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

func TestOpenMembershipAddsHostsAndRemovesDeadHosts(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := membership.NewMembership("a", "d1", 1, []string{"s"}, 1)
	a.Open = true
	b := membership.NewMembership("b", "d2", 1, []string{"s"}, 2)
	b.Open = true
	b.SetSelf(gossipmessage.Host{Label: "host-b", Control: true})
	a.Answer(now, b.Digest()) // a did not know of b
	find := func(n string) (gossipmessage.Host, bool) {
		for _, h := range a.Hosts() {
			if h.Name == n {
				return h, true
			}
		}
		return gossipmessage.Host{}, false
	}
	h, ok := find("b")
	is.True(ok)
	is.Equal(h.Label, "host-b")
	is.True(h.Control)
	is.True(a.Alive("b"))
	a.AddHosts([]string{"c", "b"})
	_, ok = find("c")
	is.True(ok)
	a.Suspect("c")
	is.True(a.DeclareDead("c"))
	a.Prune(now)
	a.Prune(now.Add(time.Minute))
	_, ok = find("c")
	is.True(!ok)
	a.ApplyPush(now, gossipmessage.Message{From: "b", Hosts: []gossipmessage.Host{{Name: "c", Boot: 1, Dead: true}}})
	_, ok = find("c")
	is.True(!ok) // a host reported dead is not added again
}

// TestRestartedHostAnswersWithItsRoles guards against a restarted host that tells its new boot without its roles, which
// happened when a peer asked it before its own first exchange.
func TestRestartedHostAnswersWithItsRoles(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	a := membership.NewMembership("a", "d1", 1, []string{"b"}, 1)
	a.Open = true
	old := membership.NewMembership("b", "d2", 1, []string{"a"}, 2)
	old.SetSelf(gossipmessage.Host{Ledgers: true})
	a.Answer(now, old.Digest())
	b := membership.NewMembership("b", "d2", 2, []string{"a"}, 2)
	b.SetSelf(gossipmessage.Host{Ledgers: true})
	a.ApplyAnswer(now, now, b.Answer(now, a.Digest()))
	for _, h := range a.Hosts() {
		if h.Name == "b" {
			is.Equal(h.Boot, uint64(2))
			is.True(h.Ledgers)
		}
	}
}

// TestLargeFleetsExchangeLessOften checks that a small fleet keeps exchanging in every period.
func TestLargeFleetsExchangeLessOften(t *testing.T) {
	for _, c := range []struct {
		hosts   int
		periods int
		small   bool
	}{
		{15, 1, true},
		{93, 2, false},
		{320, 4, false},
	} {
		t.Run(fmt.Sprint(c.hosts), func(t *testing.T) {
			is := is.New(t)
			var names []string
			for i := range c.hosts {
				names = append(names, fmt.Sprint("h", i))
			}
			m := membership.NewMembership("h0", "d", 1, names, 1)
			is.Equal(m.ExchangePeriods(), c.periods)
			is.Equal(m.Small(), c.small)
		})
	}
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
